package rockshift.cluster;

/**
 * Bounds the connections that others have opened, by what they turned out to be. Used by the
 * reactor's thread alone.
 */
final class IncomingConnectionLimits {
    /** Connections of members and of commands. */
    private static final int MAX_MEMBERS_AND_COMMANDS = 64;

    /** What a connection turned out to be, by its first frame. */
    enum Role {
        UNIDENTIFIED,
        MEMBER_OR_COMMAND,
        SUBSCRIBER
    }

    private final int maxSubscribers;
    private final int[] open = new int[Role.values().length];

    IncomingConnectionLimits(int maxSubscribers) {
        this.maxSubscribers = maxSubscribers;
    }

    /**
     * Counts a connection in another role than before.
     *
     * @param before its role before, or null
     * @return whether there are no more of its new role than allowed
     */
    boolean enter(Role before, Role next) {
        leave(before);
        open[next.ordinal()]++;
        return open[next.ordinal()] <= max(next);
    }

    /** Counts a connection no more; null for one that was never counted. */
    void leave(Role role) {
        if (role != null) {
            open[role.ordinal()]--;
        }
    }

    private int max(Role role) {
        return switch (role) {
            case UNIDENTIFIED -> MAX_MEMBERS_AND_COMMANDS + maxSubscribers;
            case MEMBER_OR_COMMAND -> MAX_MEMBERS_AND_COMMANDS;
            case SUBSCRIBER -> maxSubscribers;
        };
    }
}
