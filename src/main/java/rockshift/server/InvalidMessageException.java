package rockshift.server;

/**
 * Thrown for a well-formed message with invalid content; the next message on the connection may be
 * valid. It has no stack trace, because a faulty peer may cause very many.
 */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final CloseReason reason;

    InvalidMessageException(CloseReason reason, String detail) {
        super(detail, null, false, false);
        this.reason = reason;
    }

    CloseReason reason() {
        return reason;
    }
}
