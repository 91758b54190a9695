package rockshift.raft;

/** Why a request was rejected; nothing has changed. */
public enum ProposalRejection {
    /** Another member leads, or none. */
    NOT_LEADER("not-leader"),
    /** Too much waits to be committed. */
    BUSY("busy"),
    /** The change has too many bytes. */
    TOO_LARGE("too-large"),
    /** A leadership transfer is under way. */
    TRANSFERRING_LEADERSHIP("handing-over"),
    /** The last membership change, or the leader's term, is not committed yet. */
    MEMBERSHIP_UNSETTLED("members-unsettled"),
    /** The member's log is too far behind for it to vote. */
    NOT_CAUGHT_UP("not-caught-up"),
    /** No such member, or no voter. */
    UNKNOWN_MEMBER("unknown-member"),
    /** The cluster has as many members as it may. */
    TOO_MANY_MEMBERS("too-many-members"),
    /** The cluster would have no voter. */
    LAST_VOTER("last-voter"),
    /** The leader's disk accepts no writes. */
    DISK_FAILED("disk");

    private final String code;

    ProposalRejection(String code) {
        this.code = code;
    }

    /** The word for it in answers to commands. */
    public String code() {
        return code;
    }
}
