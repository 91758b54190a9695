package rockshift.config;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Reads an operator's file. */
public final class OperatorFile {
    /** The maximum size of a file; far larger than the file of a large fleet. */
    private static final int MAX_BYTES = 1 << 20;

    private OperatorFile() {}

    /**
     * Reads a file, and returns its top-level section. Values are checked as its fields are read.
     */
    public static Section read(String file) throws InvalidFileException {
        try {
            Path path = Path.of(file);
            if (Files.size(path) > MAX_BYTES) {
                throw new InvalidFileException(
                        file, 0, "", "is larger than " + MAX_BYTES + " bytes");
            }
            return parse(file, Files.readString(path));
        } catch (IOException failure) {
            throw new InvalidFileException(file, 0, "", "can't be read: " + failure.getMessage());
        }
    }

    static Section parse(String file, String text) throws InvalidFileException {
        LineIndex lines = new LineIndex(file, text);
        try {
            Map<String, Object> values = new HCLParser().parse(text);
            return new Section(file, lines, "", values);
        } catch (HCLParserException | IOException | RuntimeException wrong) {
            throw new InvalidFileException(
                    file,
                    0,
                    "",
                    String.valueOf(wrong.getMessage())
                            .lines()
                            .findFirst()
                            .orElse("is not valid HCL"));
        }
    }
}
