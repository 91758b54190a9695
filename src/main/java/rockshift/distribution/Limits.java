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

    /** The limits of a member, relay or controller where nothing else is configured. */
    public static Limits standard() {
        return STANDARD;
    }

    /**
     * Intervals and deadlines, in milliseconds.
     *
     * @param heartbeatIntervalMillis between two heartbeats to a subscriber
     * @param silenceTimeoutMillis after which either side ends a connection, also one that never
     *     subscribed
     * @param connectTimeoutMillis for a connection to come about; then the next upstream is tried
     * @param initialBackoffMillis before the first reconnection, doubled each time, with jitter
     * @param maxBackoffMillis where doubling ends
     * @param staleThresholdMillis age from which a subscriber tries another upstream
     * @param staleRetryMillis how long it stays where it is once all upstreams were found stale
     * @param acknowledgeIntervalMillis least time between two acknowledgements that only carry a
     *     new summary
     * @param snapshotTimeoutMillis for a subscriber to take a snapshot; then it is closed as slow
     * @param lostSubscriberRetentionMillis how long a lost subscriber counts as unreachable
     */
    public record Timing(
            long heartbeatIntervalMillis,
            long silenceTimeoutMillis,
            long connectTimeoutMillis,
            long initialBackoffMillis,
            long maxBackoffMillis,
            long staleThresholdMillis,
            long staleRetryMillis,
            long acknowledgeIntervalMillis,
            long snapshotTimeoutMillis,
            long lostSubscriberRetentionMillis) {}

    /**
     * What a message, a state and a history may hold.
     *
     * @param maxItemBytes of one item; a larger one is rejected
     * @param maxStateItems items of a state; more are rejected, the state stays as it was
     * @param maxHistoryUpdates updates kept to resume from; the oldest go first
     * @param maxHistoryBytes bytes of these; the oldest go first
     * @param maxPartItems items in a part of a snapshot
     * @param maxPartBytes bytes after which a part ends
     * @param maxDifferenceUpdates updates in a difference; a larger one is sent as a snapshot
     * @param maxDifferenceBytes bytes of these; likewise
     * @param maxScopeNames services and zones in a scope; more are rejected
     * @param maxNameLength of a subscriber's name, a service or a zone
     */
    public record Sizes(
            int maxItemBytes,
            int maxStateItems,
            int maxHistoryUpdates,
            long maxHistoryBytes,
            int maxPartItems,
            int maxPartBytes,
            int maxDifferenceUpdates,
            int maxDifferenceBytes,
            int maxScopeNames,
            int maxNameLength) {
        /** Rejects a state of more items than are allowed, reached by updates. */
        void checkStateItems(int count) throws RejectionException {
            if (count > maxStateItems) {
                throw new RejectionException(
                        RejectionReason.TOO_LARGE,
                        "updates: more than " + maxStateItems + " items");
            }
        }

        /** Rejects an item that is too large, or without a key. */
        void check(Item item, String detail) throws RejectionException {
            if (item.key().isEmpty()) {
                throw new RejectionException(RejectionReason.MALFORMED, detail + ".key: empty");
            } else if (item.bytes() > maxItemBytes) {
                throw new RejectionException(
                        RejectionReason.TOO_LARGE,
                        detail + ": " + item.bytes() + " of " + maxItemBytes + " bytes");
            }
        }
    }

    /**
     * What one publisher takes on at a time.
     *
     * @param maxConnections open ones; the next is rejected as busy
     * @param subscriptionsPerSecond the next is rejected as busy, with a time to come back
     * @param maxConcurrentSnapshots a new subscription over it is rejected as busy; one that goes
     *     on waits
     * @param maxUnacknowledgedDifferences differences not acknowledged to a subscriber; further
     *     changes are coalesced
     * @param maxUnacknowledgedParts parts not acknowledged to a subscriber
     * @param maxRetryMillis the latest time to come back that is told
     */
    public record Admission(
            int maxConnections,
            int subscriptionsPerSecond,
            int maxConcurrentSnapshots,
            int maxUnacknowledgedDifferences,
            int maxUnacknowledgedParts,
            long maxRetryMillis) {}
}
