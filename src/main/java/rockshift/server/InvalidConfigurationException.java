package rockshift.server;

/** A controller's file that cannot be used; the message names the file, and the field if known. */
final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidConfigurationException(String message) {
        super(message);
    }

    InvalidConfigurationException(String message, Throwable cause) {
        super(message, cause);
    }
}
