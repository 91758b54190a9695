package rockshift.raft;

/** Why something was not taken. */
public enum ProposalRejection {
    NOT_LEADER("not-leader"),
    BUSY("busy"),
    TOO_LARGE("too-large"),
    HANDING_OVER("handing-over"),
    UNSETTLED("members-unsettled"),
    NOT_CAUGHT_UP("not-caught-up"),
    UNKNOWN_MEMBER("unknown-member"),
    TOO_MANY("too-many-members"),
    LAST_VOTER("last-voter"),
    DISK("disk");

    private final String code;

    ProposalRejection(String code) {
        this.code = code;
    }

    public String code() {
        return code;
    }
}
