package rockshift.server;

/**
 * Thrown if a controller's configuration file is invalid. The message names the file, and the field
 * if it is known.
 */
final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidConfigurationException(String message) {
        super(message);
    }

    InvalidConfigurationException(String message, Throwable cause) {
        super(message, cause);
    }
}
