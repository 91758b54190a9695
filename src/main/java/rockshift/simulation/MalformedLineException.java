package rockshift.simulation;

/**
 * Thrown for a line that violates the simulator protocol. The message quotes the line and says what
 * was expected.
 */
final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(String line, String expected) {
        super("malformed line '" + line + "': expected " + expected);
    }
}
