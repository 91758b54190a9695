package rockshift.simulation;

/** A line that is not what the wire promises; the message quotes it and says what was expected. */
final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(String line, String expected) {
        super("malformed line '" + line + "': expected " + expected);
    }
}
