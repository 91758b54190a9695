package rockshift.distribution;

import java.util.ArrayDeque;

/** What a publisher knows of one connection and the subscription on it. */
final class Subscription {
    private static final long CLEAN = Long.MAX_VALUE;

    private final long connection;
    private String name;
    private long scopeEpoch;
    private Scope scope;

    private Revision told = Revision.NONE;
    private long unchangedThrough;
    private long digest;
    private long lastRelevant;
    private long outdatedSince = CLEAN;
    private boolean needsSnapshot;
    private SnapshotTransfer transfer;
    private final ArrayDeque<Long> unacknowledged = new ArrayDeque<>();

    private int unconfirmedScopes;
    private boolean acknowledged;
    private Revision inForce = Revision.NONE;
    private Summary summary;
    private int lostBefore;
    private SummaryAggregator.Contribution share = SummaryAggregator.Contribution.NOTHING;

    private long heardAt;
    private long echoMillis;
    private long heartbeatAt;
    private long dueAt;

    Subscription(long connection, long nowMillis) {
        this.connection = connection;
        this.heardAt = nowMillis;
        this.heartbeatAt = Long.MAX_VALUE;
    }

    long connection() {
        return connection;
    }

    /** The subscriber's name; null before it has subscribed. */
    String name() {
        return name;
    }

    boolean subscribed() {
        return name != null;
    }

    long scopeEpoch() {
        return scopeEpoch;
    }

    Scope scope() {
        return scope;
    }

    /** Begins with a scope, or goes on with another one; nothing is in force of it yet. */
    void subscribe(DistributionMessage.Subscribe message, int lostWithIt) {
        if (name == null) {
            lostBefore = lostWithIt;
        } else {
            unconfirmedScopes++;
        }
        name = message.subscriber();
        scopeEpoch = message.scopeEpoch();
        scope = message.scope();
        acknowledged = false;
        inForce = Revision.NONE;
        told = Revision.NONE;
        outdatedSince = CLEAN;
        needsSnapshot = false;
        transfer = null;
        unacknowledged.clear();
    }

    /**
     * What the subscriber holds once it has everything sent to it; none while it waits for a
     * snapshot.
     */
    Revision told() {
        return told;
    }

    /**
     * The last number up to which nothing changed in the scope since what the subscriber was told.
     */
    long unchangedThrough() {
        return unchangedThrough;
    }

    /** The digest of the scope's state as told. */
    long digest() {
        return digest;
    }

    /** It holds this, and nothing in its scope has changed up to there. */
    void tellUnchanged(Revision revision) {
        told = revision;
        unchangedThrough = revision.number();
    }

    /** A difference that leads to this was sent. */
    void tellDifference(Revision revision, long digestNow) {
        tellUnchanged(revision);
        digest = digestNow;
        outdatedSince = CLEAN;
        awaits(revision.number());
    }

    /** Something changed, but came to nothing in this scope. */
    void unchangedAfterAll(long number) {
        unchangedThrough = number;
        outdatedSince = CLEAN;
    }

    /** The state to resume from is checked by its digest. */
    void resume(Revision held, long digestThen) {
        tellUnchanged(held);
        digest = digestThen;
        lastRelevant = held.number();
    }

    void startTransfer(SnapshotTransfer started) {
        transfer = started;
        needsSnapshot = false;
        outdatedSince = CLEAN;
        told = Revision.NONE;
        unchangedThrough = started.revision().number();
        lastRelevant = started.revision().number();
    }

    /**
     * Whether all that was sent before has been read, so that no more than one snapshot waits to be
     * read.
     */
    boolean mayStartTransfer() {
        return unacknowledged.isEmpty() && unconfirmedScopes == 0;
    }

    /** Changes of scope since the subscriber last showed that it reads. */
    int unconfirmedScopes() {
        return unconfirmedScopes;
    }

    void finishTransfer() {
        told = transfer.revision();
        digest = transfer.digest();
        awaits(told.number());
        transfer = null;
    }

    /** The snapshot on its way; null if there is none. */
    SnapshotTransfer transfer() {
        return transfer;
    }

    /**
     * Something in its scope changed.
     *
     * @param number up to which nothing had
     * @param freshThen when what it was told was last known to be the newest
     */
    void outdate(long number, long freshThen) {
        if (!outdated()) {
            unchangedThrough = number;
            outdatedSince = freshThen;
        }
    }

    /** Only a snapshot can bring it up to date. */
    void requireSnapshot(long freshThen) {
        outdate(unchangedThrough, freshThen);
        needsSnapshot = true;
    }

    boolean needsSnapshot() {
        return needsSnapshot;
    }

    boolean outdated() {
        return outdatedSince != CLEAN;
    }

    /**
     * When what it was told was last known to be the newest, where the store's state is known to
     * have been at the time given.
     */
    long freshAt(long storeFreshAt) {
        return Math.min(outdatedSince, storeFreshAt);
    }

    int unacknowledged() {
        return unacknowledged.size();
    }

    void acknowledge(DistributionMessage.Acknowledge message) {
        acknowledged = true;
        unconfirmedScopes = 0;
        inForce = message.inForce();
        summary = message.summary();
        while (!unacknowledged.isEmpty() && unacknowledged.peek() <= inForce.number()) {
            unacknowledged.poll();
        }
    }

    Revision inForce() {
        return inForce;
    }

    /** Answers the share it had in the sum, and works out the present one. */
    SummaryAggregator.Contribution replaceShare() {
        SummaryAggregator.Contribution before = share;
        share = currentShare();
        return before;
    }

    SummaryAggregator.Contribution share() {
        return share;
    }

    /** How many governors are out of reach once this connection has ended. */
    int governors() {
        return acknowledged
                ? summary.subscribers() + summary.unreachable()
                : Math.max(1, lostBefore);
    }

    private SummaryAggregator.Contribution currentShare() {
        if (!acknowledged) {
            return new SummaryAggregator.Contribution(false, 0, 1, 1, 0, Digest.of(name));
        }
        long lowest = Math.min(inForce.number(), summary.lowestRevision());
        boolean pending = outdated() || transfer != null;
        boolean hasAll = !pending && inForce.number() >= lastRelevant;
        return new SummaryAggregator.Contribution(
                !pending && lowest >= lastRelevant,
                lowest,
                summary.subscribers(),
                hasAll ? summary.behind() : summary.subscribers(),
                summary.unreachable(),
                summary.fingerprint());
    }

    private void awaits(long number) {
        lastRelevant = number;
        unacknowledged.add(number);
    }

    /** A message came that could be read. */
    void heard(long nowMillis) {
        heardAt = nowMillis;
    }

    long heardAt() {
        return heardAt;
    }

    void echo(long sentMillis) {
        echoMillis = sentMillis;
    }

    long echoMillis() {
        return echoMillis;
    }

    void heartbeatAt(long at) {
        heartbeatAt = at;
    }

    long heartbeatAt() {
        return heartbeatAt;
    }

    void dueAt(long at) {
        dueAt = at;
    }

    long dueAt() {
        return dueAt;
    }
}
