package rockshift.raft;

import java.util.TreeMap;

/**
 * The memberships in the log, by the index of the entry that introduced each. The latest one is in
 * force as soon as its entry is appended, committed or not; if that entry is truncated, the
 * previous one is in force again.
 */
final class MembershipHistory {
    private final TreeMap<Long, Membership> byIndex = new TreeMap<>();

    MembershipHistory(long index, Membership membership) {
        byIndex.put(index, membership);
    }

    /** Returns the membership in force. */
    Membership current() {
        return byIndex.lastEntry().getValue();
    }

    /** Returns the index of the entry that introduced the membership in force. */
    long currentIndex() {
        return byIndex.lastKey();
    }

    /** Returns the membership that was in force at an index, which must not have been compacted. */
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

    /** Replaces all memberships with that of a snapshot. */
    void reset(long index, Membership membership) {
        byIndex.clear();
        byIndex.put(index, membership);
    }
}
