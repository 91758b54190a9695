package rockshift.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Locale;
import java.util.Map;

/** Prints measured figures by name, and writes them to CSV files. */
final class FigureTables {
    private FigureTables() {}

    /** Prints a row for each figure; the format takes its name and its value. */
    static void print(PrintWriter out, String rowFormat, Map<String, Double> figures) {
        figures.forEach((name, value) -> out.printf(Locale.ROOT, rowFormat, name, value));
    }

    /** Writes the figures to a file, replacing its content. */
    static void write(Path file, Map<String, Double> figures) throws IOException {
        StringBuilder text = new StringBuilder("figure,value\n");
        figures.forEach(
                (name, value) ->
                        text.append(String.format(Locale.ROOT, "\"%s\",%.3f%n", name, value)));
        Files.writeString(file, text);
    }

    /** Appends rows to a file, after the header if the file is new. */
    static void append(Path file, String header, String rows) throws IOException {
        Files.writeString(
                file,
                (Files.exists(file) ? "" : header) + rows,
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }
}
