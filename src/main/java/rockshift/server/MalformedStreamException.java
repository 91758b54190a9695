package rockshift.server;

/**
 * Thrown for bytes that are not a RESP2 message. The start of the next message is unknown, so the
 * connection cannot be used any further.
 */
public final class MalformedStreamException extends Exception {
    private static final long serialVersionUID = 1L;

    private final CloseReason reason;

    MalformedStreamException(CloseReason reason, String detail) {
        super(detail);
        this.reason = reason;
    }

    CloseReason reason() {
        return reason;
    }
}
