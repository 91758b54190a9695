package rockshift.testkit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import rockshift.raft.Entry;
import rockshift.raft.Log;
import rockshift.raft.RaftNode;

/**
 * What has happened in a world, held against what the protocol promises. It sees every member from
 * outside, and every client only by what it asked and was told. The first breach ends the seed.
 */
final class HistoryChecker {
    /** Something that must never happen did. */
    static final class Violation extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Violation(String what) {
            super(what, null, false, false);
        }
    }

    private record EntryId(long index, long term) {}

    private record Written(int content, long prevTerm) {}

    private final Map<Long, Long> leaders = new HashMap<>();
    private final Map<EntryId, Written> writtenEntries = new HashMap<>();

    /** Terms of agreed entries by index, from 1. */
    private final List<Long> committedTerms = new ArrayList<>(List.of(0L));

    /** The term in which each was found agreed first. */
    private final List<Long> committedInTerm = new ArrayList<>(List.of(0L));

    private final Map<Long, Integer> appliedAt = new HashMap<>();
    private final Map<Long, Integer> statesAt = new HashMap<>();

    /** Changes in the order in which they took effect first, and which were acknowledged. */
    private final List<Long> order = new ArrayList<>();

    private final Set<Long> acknowledged = new HashSet<>();

    /** Places in the order that every operation that begins from now on must see. */
    private int requiredLength;

    private static void check(boolean holds, String what) {
        if (!holds) {
            throw new Violation(what);
        }
    }

    /** A member leads: one a term, and it holds all that was agreed before. */
    void checkLeader(RaftNode member) {
        Long known = leaders.putIfAbsent(member.term(), member.id());
        check(
                known == null || known == member.id(),
                "election safety: two leaders in term " + member.term());
        if (known == null) {
            Log log = member.log();
            for (long index = log.baseIndex() + 1; index < committedTerms.size(); index++) {
                // One of an older term may be elected late, and never hear of it: it can get
                // nothing agreed.
                boolean older = committedInTerm.get((int) index) < member.term();
                check(
                        !older || log.term(index) == committedTerms.get((int) index),
                        "leader completeness: the leader of term "
                                + member.term()
                                + " lacks agreed entry "
                                + index);
            }
        }
    }

    /** Entries reach a disk: an index and a term name one content, and one entry before it. */
    void checkWritten(List<Entry> entries, long prevTerm) {
        long before = prevTerm;
        for (Entry entry : entries) {
            Written now =
                    new Written(
                            Objects.hash(
                                    entry.kind(), entry.session(), entry.serial(), entry.members()),
                            before);
            Written known =
                    writtenEntries.putIfAbsent(new EntryId(entry.index(), entry.term()), now);
            check(
                    known == null
                            || known.content == now.content
                                    && (known.prevTerm == before
                                            || before < 0
                                            || known.prevTerm < 0),
                    "log matching: entry " + entry.index() + " of term " + entry.term());
            before = entry.term();
        }
    }

    /** A member holds entries up to an index for agreed. */
    void checkCommitted(RaftNode member, long from, long to) {
        Log log = member.log();
        for (long index = Math.max(from, log.baseIndex()) + 1; index <= to; index++) {
            long term = log.term(index);
            if (index < committedTerms.size()) {
                check(
                        committedTerms.get((int) index) == term,
                        "agreement: entry "
                                + index
                                + " agreed in term "
                                + committedTerms.get((int) index)
                                + " and in "
                                + term);
            } else if (index == committedTerms.size()) {
                committedTerms.add(term);
                committedInTerm.add(member.term());
            }
        }
    }

    /** A member applied an entry, after which its state has a hash. */
    void checkApplied(Entry entry, int state) {
        int content = Objects.hash(entry.term(), entry.kind(), entry.session(), entry.serial());
        Integer known = appliedAt.putIfAbsent(entry.index(), content);
        check(
                known == null || known == content,
                "one order: entry " + entry.index() + " applied in two versions");
        checkState(entry.index(), state);
    }

    /** A member's state after an index, applied or taken from a snapshot. */
    void checkState(long index, int state) {
        Integer known = statesAt.putIfAbsent(index, state);
        check(known == null || known == state, "one state: members differ after entry " + index);
    }

    /** A change takes effect at a place at some member. */
    void checkEffect(long change, int position) {
        if (position == order.size()) {
            check(!order.contains(change), "twice: change " + change);
            order.add(change);
        }
        check(
                order.get(position) == change,
                "one order: change " + change + " at place " + position);
    }

    // ---- clients --------------------------------------------------------------------------------

    /** What an operation that begins now must see. */
    int requiredLength() {
        return requiredLength;
    }

    void checkAcknowledged(long change, int position, int requiredAtStart) {
        check(
                position < order.size() && order.get(position) == change,
                "lost: change " + change + " acknowledged at " + position);
        check(
                position >= requiredAtStart,
                "linearizable: change "
                        + change
                        + " came before what was done when it was asked for");
        acknowledged.add(change);
        requiredLength = Math.max(requiredLength, position + 1);
    }

    void checkRead(List<Long> changes, int requiredAtStart) {
        check(
                changes.size() <= order.size() && changes.equals(order.subList(0, changes.size())),
                "linearizable: a read shows another order");
        check(
                changes.size() >= requiredAtStart,
                "linearizable: a read shows "
                        + changes.size()
                        + " changes, "
                        + requiredAtStart
                        + " were done when it was asked for");
        requiredLength = Math.max(requiredLength, changes.size());
    }

    /** At the end, what any member holds. */
    void checkFinalState(List<Long> changes) {
        check(
                new HashSet<>(changes).size() == changes.size(),
                "twice: a member holds a change twice");
        check(
                new HashSet<>(changes).containsAll(acknowledged),
                "lost: a member lacks an acknowledged change");
    }

    int acknowledged() {
        return acknowledged.size();
    }
}
