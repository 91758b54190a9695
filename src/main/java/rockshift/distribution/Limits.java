package rockshift.distribution;

/**
 * The limits of the distribution and what happens when one is reached.
 *
 * @param timing intervals and timeouts
 * @param sizes maximum sizes of messages, states and histories
 * @param admission limits on the load that one publisher accepts
 */
public record Limits(Timing timing, Sizes sizes, Admission admission) {
    private static final Limits STANDARD =
            new Limits(
                    new Timing(500, 1_500, 2_000, 200, 10_000, 3_000, 15_000, 100, 30_000, 30_000),
                    new Sizes(
                            65_536, 262_144, 16_384, 16 << 20, 1_024, 131_072, 4_096, 262_144,
                            4_096, 200),
                    new Admission(4_096, 200, 32, 4, 4, 30_000));

    /** Returns the default limits of a member, relay or controller. */
    public static Limits standard() {
        return STANDARD;
    }

    /**
     * Intervals and timeouts, in milliseconds.
     *
     * @param heartbeatIntervalMillis interval between heartbeats to a subscriber
     * @param silenceTimeoutMillis time without a message after which either side closes the
     *     connection, also one that never subscribed
     * @param connectTimeoutMillis time for a connection to be established; then the next upstream
     *     is tried
     * @param initialBackoffMillis delay before the first reconnection, doubled on each further one,
     *     with jitter
     * @param maxBackoffMillis upper limit of the reconnection delay
     * @param staleThresholdMillis age of the state from which a subscriber tries another upstream
     * @param staleRetryMillis time a subscriber stays with its upstream once all upstreams were
     *     found stale
     * @param acknowledgeIntervalMillis minimum interval between acknowledgements that only carry a
     *     new summary
     * @param snapshotTimeoutMillis time for a subscriber to receive a snapshot; then its connection
     *     is closed as slow
     * @param lostSubscriberRetentionMillis time for which a disconnected subscriber counts as
     *     unreachable
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
     * Maximum sizes of messages, states and histories.
     *
     * @param maxItemBytes size of an item; a larger one is rejected
     * @param maxStateItems items in a state; a larger state is rejected and the current one is kept
     * @param maxHistoryUpdates updates retained for resuming; the oldest are dropped first
     * @param maxHistoryBytes bytes of the retained updates; the oldest are dropped first
     * @param maxPartItems items in a part of a snapshot
     * @param maxPartBytes bytes in a part of a snapshot; a part holds at least one item
     * @param maxDifferenceUpdates updates in a difference; a larger one is sent as a snapshot
     * @param maxDifferenceBytes bytes of the updates in a difference; a larger one is sent as a
     *     snapshot
     * @param maxScopeNames services and zones in a scope; a scope with more is rejected
     * @param maxNameLength length of a subscriber's name, a service or a zone
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
        /** Rejects a set of updates that results in a state of more items than are allowed. */
        void checkStateItems(int count) throws RejectionException {
            if (count > maxStateItems) {
                throw new RejectionException(
                        RejectionReason.TOO_LARGE,
                        "updates: state would hold "
                                + count
                                + " items, maximum is "
                                + maxStateItems);
            }
        }

        /** Rejects an item that is too large or has no key. */
        void check(Item item, String field) throws RejectionException {
            if (item.key().isEmpty()) {
                throw new RejectionException(
                        RejectionReason.MALFORMED, field + ".key: must not be empty");
            } else if (item.bytes() > maxItemBytes) {
                throw new RejectionException(
                        RejectionReason.TOO_LARGE,
                        field + ": " + item.bytes() + " bytes, maximum is " + maxItemBytes);
            }
        }
    }

    /**
     * Limits on the load that one publisher accepts.
     *
     * @param maxConnections open connections; further ones are rejected as busy
     * @param subscriptionsPerSecond rate of new subscriptions; further ones are rejected as busy,
     *     with a time to retry after
     * @param maxConcurrentSnapshots snapshots in progress; beyond it a new subscription that needs
     *     a snapshot is rejected as busy, and an existing subscription waits for its snapshot
     * @param maxUnacknowledgedDifferences unacknowledged differences per subscriber; further
     *     changes are coalesced
     * @param maxUnacknowledgedParts unacknowledged snapshot parts per subscriber
     * @param maxRetryMillis upper limit of the time to retry after
     */
    public record Admission(
            int maxConnections,
            int subscriptionsPerSecond,
            int maxConcurrentSnapshots,
            int maxUnacknowledgedDifferences,
            int maxUnacknowledgedParts,
            long maxRetryMillis) {}
}
