package rockshift.server;

/**
 * A message that is well formed and cannot be used; the next one on the connection may be good. It
 * carries no stack trace, since a faulty peer may cause very many.
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
