package rockshift.server;

/**
 * The reason why a connection was closed, or why a message of an identified peer was dropped. The
 * log shows the label; docs/on-call.md says what to do about each.
 */
enum CloseReason {
    PEER_CLOSED("peer-closed"),
    RESET("reset"),
    MALFORMED("malformed"),
    TOO_LONG("too-long"),
    UNKNOWN_KIND("unknown-kind"),
    BAD_FIELD("bad-field"),
    UNEXPECTED("unexpected"),
    IDENTIFY_TIMEOUT("identify-timeout"),
    REPLACED("replaced"),
    SEND_BUFFER_FULL("send-buffer-full"),
    /**
     * One of two limits is reached: the planner's queue is full and this peer has used its quota of
     * it, or the process holds too much memory for all peers and this peer holds most.
     */
    OVERLOAD("overload"),
    CONNECTION_LIMIT("connection-limit"),
    FAILURE("failure"),
    SHUTDOWN("shutdown");

    private final String label;

    CloseReason(String label) {
        this.label = label;
    }

    @Override
    public String toString() {
        return label;
    }
}
