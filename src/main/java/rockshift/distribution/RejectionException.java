package rockshift.distribution;

/** Thrown where a message or a change can't be taken; nothing has been changed. */
public final class RejectionException extends Exception {
    private static final long serialVersionUID = 1;
    private final RejectionReason reason;
    private final String detail;

    public RejectionException(RejectionReason reason, String place) {
        super(reason.code() + ": " + place, null, false, false);
        this.reason = reason;
        this.detail = place;
    }

    public RejectionReason reason() {
        return reason;
    }

    /** The field, and what is wrong there. */
    public String detail() {
        return detail;
    }
}
