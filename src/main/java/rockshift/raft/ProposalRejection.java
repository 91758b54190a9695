package rockshift.raft;

/** Why something was not taken. */
public enum ProposalRejection {
    NOT_LEADER("not-leader"),
    BUSY("busy"),
    TOO_LARGE("too-large"),
    TRANSFERRING_LEADERSHIP("handing-over"),
    MEMBERSHIP_UNSETTLED("members-unsettled"),
    NOT_CAUGHT_UP("not-caught-up"),
    UNKNOWN_MEMBER("unknown-member"),
    TOO_MANY_MEMBERS("too-many-members"),
    LAST_VOTER("last-voter"),
    DISK_FAILED("disk");

    private final String code;

    ProposalRejection(String code) {
        this.code = code;
    }

    public String code() {
        return code;
    }
}
