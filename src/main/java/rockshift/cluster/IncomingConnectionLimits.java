package rockshift.cluster;

/** Limits the number of incoming connections in each role. Used only by the reactor's thread. */
final class IncomingConnectionLimits {
    /** The maximum number of connections of members and commands. */
    private static final int MAX_MEMBERS_AND_COMMANDS = 64;

    /** The role of a connection, determined by its first frame. */
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
     * Moves a connection to another role.
     *
     * @param before its role so far, or null
     * @return whether the number of connections in the new role is within the limit
     */
    boolean enter(Role before, Role next) {
        leave(before);
        open[next.ordinal()]++;
        return open[next.ordinal()] <= max(next);
    }

    /** Stops counting a connection; null stands for one that was never counted. */
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
