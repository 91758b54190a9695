package rockshift.raft;

import java.util.TreeMap;

/**
 * The memberships of the log, by the index of the entry from which each holds. The last one is in
 * force from the moment its entry is appended, committed or not; if that entry is truncated, the
 * one before is in force again.
 */
final class MembershipHistory {
    private final TreeMap<Long, Membership> byIndex = new TreeMap<>();

    MembershipHistory(long index, Membership membership) {
        byIndex.put(index, membership);
    }

    /** The membership in force. */
    Membership current() {
        return byIndex.lastEntry().getValue();
    }

    /** The index from which the membership in force holds. */
    long currentIndex() {
        return byIndex.lastKey();
    }

    /** The membership that was in force at an index that is still kept. */
    Membership at(long index) {
        return byIndex.floorEntry(index).getValue();
    }

    void put(long index, Membership membership) {
        byIndex.put(index, membership);
    }

    void truncateFrom(long index) {
        byIndex.tailMap(index, true).clear();
    }

    /** Drops memberships that were in force only below an index. */
    void compact(long index) {
        long firstNeeded = byIndex.floorKey(index);
        byIndex.headMap(firstNeeded, false).clear();
    }

    /** Starts again from a snapshot. */
    void reset(long index, Membership membership) {
        byIndex.clear();
        byIndex.put(index, membership);
    }
}
