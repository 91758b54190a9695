package rockshift.raft;

import java.util.List;

/**
 * A member's log, with the snapshot that replaces its compacted part and the memberships in its
 * entries. Every change of the log is made by this class and reported to the {@link
 * DurabilityTracker}, so that nothing is appended or truncated without being persisted.
 */
final class ReplicatedLog {
    /**
     * Number of entries retained below a snapshot, so that a follower that lags a little is sent
     * entries rather than the snapshot.
     */
    private static final int RETAINED_ENTRIES = 2_000;

    private final Log log;
    private final MembershipHistory memberships;
    private final DurabilityTracker durability;
    private Snapshot snapshot;

    /** Creates a log as recovered from disk; {@code entries} are those after the snapshot. */
    ReplicatedLog(Snapshot snapshot, List<Entry> entries, DurabilityTracker durability) {
        this.snapshot = snapshot;
        this.durability = durability;
        log = new Log(snapshot.index(), snapshot.term());
        memberships = new MembershipHistory(snapshot.index(), snapshot.membership());
        entries.forEach(this::add);
    }

    private void add(Entry entry) {
        log.add(entry);
        if (entry.kind() == Entry.Kind.MEMBERSHIP) {
            memberships.put(entry.index(), entry.members());
        }
    }

    Log entries() {
        return log;
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long baseIndex() {
        return log.baseIndex();
    }

    long lastIndex() {
        return log.lastIndex();
    }

    long lastTerm() {
        return log.lastTerm();
    }

    long term(long index) {
        return log.term(index);
    }

    /** Returns the membership in force. */
    Membership membership() {
        return memberships.current();
    }

    /** Returns the index of the entry that introduced the membership in force. */
    long membershipIndex() {
        return memberships.currentIndex();
    }

    Membership membershipAt(long index) {
        return memberships.at(index);
    }

    /** Sets the founding members of an empty log. The caller has already persisted them. */
    void bootstrap(Membership founders) {
        snapshot = new Snapshot(0, 0, founders, new byte[0]);
        memberships.put(0, founders);
    }

    void append(Entry entry) {
        add(entry);
        durability.entriesAppended(entry.index());
    }

    /** Removes the entry at an index and all entries after it. */
    void truncateFrom(long index) {
        log.truncateFrom(index);
        memberships.truncateFrom(index);
        durability.entriesTruncated(index);
    }

    /** Replaces the whole log with a snapshot sent by the leader. */
    void installSnapshot(Snapshot received) {
        snapshot = received;
        log.reset(received.index(), received.term());
        memberships.reset(received.index(), received.membership());
        durability.snapshotInstalled(received);
    }

    /**
     * Drops entries included in a snapshot of this member's own state, except for the retained
     * ones.
     */
    void compact(Snapshot taken) {
        snapshot = taken;
        log.compact(Math.max(log.baseIndex(), taken.index() - RETAINED_ENTRIES));
        memberships.compact(Math.max(log.baseIndex(), 0));
    }

    /** Estimates the size of the newest entries from the average size of all entries in memory. */
    long bytesOfNewest(long count) {
        return log.bytes() * count / Math.max(1, log.lastIndex() - log.baseIndex());
    }

    /**
     * Returns the highest index, from {@code from} downwards, whose term is at most {@code term},
     * or the base index: the last index at which this log may match a log that has {@code term}
     * there.
     */
    long lastIndexWithinTerm(long from, long term) {
        long index = from;
        while (index > log.baseIndex() && log.term(index) > term) {
            index--;
        }
        return index;
    }
}
