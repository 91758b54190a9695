package rockshift.server;

/**
 * Bytes that are no RESP2 message. Where the next message begins is unknown, so the connection
 * cannot be used any further.
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
