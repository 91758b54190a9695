package rockshift.raft;

import java.util.List;

/**
 * A member's log with what belongs to it: the snapshot that replaces its compacted part and the
 * memberships that its entries carry. Every change of the log goes through here, and is reported to
 * the {@link DurabilityTracker}, so that nothing is appended or truncated without being persisted.
 */
final class ReplicatedLog {
    /**
     * Entries kept below a snapshot, so that a follower that is a little behind is sent entries
     * rather than the snapshot.
     */
    private static final int RETAINED_ENTRIES = 2_000;

    private final Log log;
    private final MembershipHistory memberships;
    private final DurabilityTracker durability;
    private Snapshot snapshot;

    /** A log as it was recovered from disk; {@code entries} follow the snapshot. */
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

    /** The membership in force. */
    Membership membership() {
        return memberships.current();
    }

    /** The index from which the membership in force holds. */
    long membershipIndex() {
        return memberships.currentIndex();
    }

    Membership membershipAt(long index) {
        return memberships.at(index);
    }

    /** Gives an empty log its founding members; the caller has persisted them already. */
    void bootstrap(Membership founders) {
        snapshot = new Snapshot(0, 0, founders, new byte[0]);
        memberships.put(0, founders);
    }

    void append(Entry entry) {
        add(entry);
        durability.entriesAppended(entry.index());
    }

    /** Removes an entry and all after it. */
    void truncateFrom(long index) {
        log.truncateFrom(index);
        memberships.truncateFrom(index);
        durability.entriesTruncated(index);
    }

    /** Replaces the whole log by a snapshot that the leader sent. */
    void installSnapshot(Snapshot received) {
        snapshot = received;
        log.reset(received.index(), received.term());
        memberships.reset(received.index(), received.membership());
        durability.snapshotInstalled(received);
    }

    /** Drops entries that a snapshot of this member's own state includes. */
    void compact(Snapshot taken) {
        snapshot = taken;
        log.compact(Math.max(log.baseIndex(), taken.index() - RETAINED_ENTRIES));
        memberships.compact(Math.max(log.baseIndex(), 0));
    }

    /** Bytes of the newest entries, by their share of all in memory. */
    long bytesOfNewest(long count) {
        return log.bytes() * count / Math.max(1, log.lastIndex() - log.baseIndex());
    }

    /**
     * The highest index from {@code from} downwards whose term is at most {@code term}: where the
     * log may agree with one that has that term.
     */
    long lastIndexWithinTerm(long from, long term) {
        long index = from;
        while (index > log.baseIndex() && log.term(index) > term) {
            index--;
        }
        return index;
    }
}
