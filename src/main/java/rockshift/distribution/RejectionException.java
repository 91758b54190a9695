package rockshift.distribution;

/** Thrown where a message or a change can't be taken; nothing has been changed. */
public final class RejectionException extends Exception {
    private static final long serialVersionUID = 1;
    private final RejectionReason reason;
    private final String detail;

    /**
     * A rejection at a field of the message.
     *
     * @param detail the field, and what is wrong there
     */
    public RejectionException(RejectionReason reason, String detail) {
        super(reason.code() + ": " + detail, null, false, false);
        this.reason = reason;
        this.detail = detail;
    }

    /** The reason that counters and messages show. */
    public RejectionReason reason() {
        return reason;
    }

    /** The field, and what is wrong there. */
    public String detail() {
        return detail;
    }
}
