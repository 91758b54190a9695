package rockshift.raft;

/** The reason why a request was rejected. A rejected request has no effect. */
public enum ProposalRejection {
    /** This member is not the leader; another member is, or none. */
    NOT_LEADER("not-leader"),
    /** Too many entries or bytes are waiting to be committed. */
    BUSY("busy"),
    /** The change exceeds the maximum size. */
    TOO_LARGE("too-large"),
    /** A leadership transfer is in progress. */
    TRANSFERRING_LEADERSHIP("handing-over"),
    /** The last membership change, or an entry of the leader's term, is not committed yet. */
    MEMBERSHIP_UNSETTLED("members-unsettled"),
    /** The member's log is too far behind for it to become a voter. */
    NOT_CAUGHT_UP("not-caught-up"),
    /** The member does not exist or is not a voter. */
    UNKNOWN_MEMBER("unknown-member"),
    /** The cluster already has the maximum number of members. */
    TOO_MANY_MEMBERS("too-many-members"),
    /** The cluster would have no voter. */
    LAST_VOTER("last-voter"),
    /** The leader's disk accepts no writes. */
    DISK_FAILED("disk");

    private final String code;

    ProposalRejection(String code) {
        this.code = code;
    }

    /** Returns the code for this reason in responses to commands. */
    public String code() {
        return code;
    }
}
