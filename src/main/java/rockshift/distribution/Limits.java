package rockshift.distribution;

/**
 * Every bound of the distribution, with what happens there.
 *
 * @param timing intervals and deadlines
 * @param sizes what a message, a state and a history may hold
 * @param admission what one publisher takes on at a time
 */
public record Limits(Timing timing, Sizes sizes, Admission admission) {
    private static final Limits STANDARD =
            new Limits(
                    new Timing(500, 1_500, 2_000, 200, 10_000, 3_000, 15_000, 100, 30_000, 30_000),
                    new Sizes(
                            65_536, 262_144, 16_384, 16 << 20, 1_024, 131_072, 4_096, 262_144,
                            4_096, 200),
                    new Admission(4_096, 200, 32, 4, 4, 30_000));

    public static Limits standard() {
        return STANDARD;
    }

    /**
     * Intervals and deadlines, in milliseconds.
     *
     * @param heartbeat between two heartbeats to a subscriber
     * @param silence after which either side ends a connection, also one that never subscribed
     * @param connect for a connection to come about; then the next upstream is tried
     * @param backOff before the first reconnection, doubled each time, with jitter
     * @param mostBackOff where doubling ends
     * @param stale age from which a subscriber tries another upstream
     * @param staleRetry how long it stays where it is once all upstreams were found stale
     * @param acknowledge least time between two acknowledgements that only carry a new summary
     * @param snapshot for a subscriber to take a snapshot; then it is closed as slow
     * @param remember how long a lost subscriber counts as unreachable
     */
    public record Timing(
            long heartbeat,
            long silence,
            long connect,
            long backOff,
            long mostBackOff,
            long stale,
            long staleRetry,
            long acknowledge,
            long snapshot,
            long remember) {}

    /**
     * What a message, a state and a history may hold.
     *
     * @param itemBytes of one item; a larger one is refused
     * @param stateItems items of a state; more are refused, what was held stays
     * @param historyUpdates updates kept to resume from; the oldest go first
     * @param historyBytes bytes of these; the oldest go first
     * @param partItems items in a part of a snapshot
     * @param partBytes bytes after which a part ends
     * @param differenceUpdates updates in a difference; a larger one is sent as a snapshot
     * @param differenceBytes bytes of these; likewise
     * @param scopeNames services and zones in a scope; more are refused
     * @param nameLength of a subscriber's name, a service or a zone
     */
    public record Sizes(
            int itemBytes,
            int stateItems,
            int historyUpdates,
            long historyBytes,
            int partItems,
            int partBytes,
            int differenceUpdates,
            int differenceBytes,
            int scopeNames,
            int nameLength) {
        /** Refuses an item that is too large, or without a key. */
        void check(Item item, String place) throws Refusal {
            if (item.key().isEmpty()) {
                throw new Refusal(RejectionReason.MALFORMED, place + ".key: empty");
            } else if (item.bytes() > itemBytes) {
                throw new Refusal(
                        RejectionReason.TOO_LARGE,
                        place + ": " + item.bytes() + " of " + itemBytes + " bytes");
            }
        }
    }

    /**
     * What one publisher takes on at a time.
     *
     * @param connections open ones; the next is refused as busy
     * @param subscriptionsEachSecond the next is refused as busy, with a time to come back
     * @param snapshotsAtOnce a new subscription over it is refused as busy; one that goes on waits
     * @param window differences not acknowledged to a subscriber; further changes are coalesced
     * @param snapshotWindow parts not acknowledged to a subscriber
     * @param mostRetryMillis the latest time to come back that is told
     */
    public record Admission(
            int connections,
            int subscriptionsEachSecond,
            int snapshotsAtOnce,
            int window,
            int snapshotWindow,
            long mostRetryMillis) {}
}
