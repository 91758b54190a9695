package rockshift.config;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Reads an operator's file into its outermost section. */
public final class OperatorFile {
    /** The longest file that is read: far longer than one of a large fleet. */
    private static final int MAX_BYTES = 1 << 20;

    private OperatorFile() {}

    /** Reads a file; what it says is checked as its fields are read. */
    public static Section read(String file) throws InvalidFileException {
        try {
            Path path = Path.of(file);
            if (Files.size(path) > MAX_BYTES) {
                throw new InvalidFileException(file, 0, "", "over " + MAX_BYTES + " bytes");
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
                    String.valueOf(wrong.getMessage()).lines().findFirst().orElse("no HCL"));
        }
    }
}
