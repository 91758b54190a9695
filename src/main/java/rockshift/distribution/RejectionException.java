package rockshift.distribution;

/** Thrown if a message or change is rejected. No state has been changed. */
public final class RejectionException extends Exception {
    private static final long serialVersionUID = 1;
    private final RejectionReason reason;
    private final String detail;

    /**
     * Creates a rejection.
     *
     * @param detail the field and what is wrong with it
     */
    public RejectionException(RejectionReason reason, String detail) {
        super(reason.code() + ": " + detail, null, false, false);
        this.reason = reason;
        this.detail = detail;
    }

    /** Returns the reason that counters and messages show. */
    public RejectionReason reason() {
        return reason;
    }

    /** Returns the field and what is wrong with it. */
    public String detail() {
        return detail;
    }
}
