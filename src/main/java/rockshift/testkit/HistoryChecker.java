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
 * Checks the history of a simulated cluster against the invariants of the protocol. It observes all
 * members, and of clients only their requests and answers. The first violation ends the run.
 */
final class HistoryChecker {
    /** Thrown when an invariant is violated. */
    static final class Violation extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Violation(String description) {
            super(description, null, false, false);
        }
    }

    private record EntryId(long index, long term) {}

    private record Written(int contentHash, long previousTerm) {}

    private final Map<Long, Long> leaders = new HashMap<>();
    private final Map<EntryId, Written> writtenEntries = new HashMap<>();

    /** The terms of committed entries by index, from 1. */
    private final List<Long> committedTerms = new ArrayList<>(List.of(0L));

    /** The term of the member that first considered each index committed. */
    private final List<Long> committedInTerm = new ArrayList<>(List.of(0L));

    private final Map<Long, Integer> appliedContentHashes = new HashMap<>();
    private final Map<Long, Integer> stateHashes = new HashMap<>();

    /** The changes in the order in which they were first applied. */
    private final List<Long> appliedChanges = new ArrayList<>();

    private final Set<Long> acknowledged = new HashSet<>();

    /** The number of applied changes that every operation started from now on must see. */
    private int requiredLength;

    private static void check(boolean holds, String description) {
        if (!holds) {
            throw new Violation(description);
        }
    }

    /** Checks that a leader is the only one of its term and has all entries committed before. */
    void checkLeader(RaftNode member) {
        Long known = leaders.putIfAbsent(member.term(), member.id());
        check(
                known == null || known == member.id(),
                "election safety: two leaders in term " + member.term());
        if (known == null) {
            Log log = member.log();
            for (long index = log.baseIndex() + 1; index < committedTerms.size(); index++) {
                // A leader of an older term may be elected late and lack entries committed in newer
                // terms; it cannot commit anything.
                boolean committedEarlier = committedInTerm.get((int) index) < member.term();
                check(
                        !committedEarlier || log.term(index) == committedTerms.get((int) index),
                        "leader completeness: the leader of term "
                                + member.term()
                                + " lacks committed entry "
                                + index);
            }
        }
    }

    /**
     * Checks entries that are written to a disk: index and term determine the content and the term
     * of the preceding entry.
     */
    void checkWritten(List<Entry> entries, long termBeforeFirst) {
        long previousTerm = termBeforeFirst;
        for (Entry entry : entries) {
            Written now =
                    new Written(
                            Objects.hash(
                                    entry.kind(), entry.session(), entry.serial(), entry.members()),
                            previousTerm);
            Written known =
                    writtenEntries.putIfAbsent(new EntryId(entry.index(), entry.term()), now);
            check(
                    known == null
                            || known.contentHash == now.contentHash
                                    && (known.previousTerm == previousTerm
                                            || previousTerm < 0
                                            || known.previousTerm < 0),
                    "log matching: entry "
                            + entry.index()
                            + " of term "
                            + entry.term()
                            + " written with another content or previous term");
            previousTerm = entry.term();
        }
    }

    /** Checks the entries after one index and up to another that a member considers committed. */
    void checkCommitted(RaftNode member, long after, long upTo) {
        Log log = member.log();
        for (long index = Math.max(after, log.baseIndex()) + 1; index <= upTo; index++) {
            long term = log.term(index);
            if (index < committedTerms.size()) {
                check(
                        committedTerms.get((int) index) == term,
                        "agreement: entry "
                                + index
                                + " committed with term "
                                + committedTerms.get((int) index)
                                + " and with term "
                                + term);
            } else if (index == committedTerms.size()) {
                committedTerms.add(term);
                committedInTerm.add(member.term());
            }
        }
    }

    /** Checks an entry that a member applied, and the hash of its state after that. */
    void checkApplied(Entry entry, int stateHash) {
        int contentHash = Objects.hash(entry.term(), entry.kind(), entry.session(), entry.serial());
        Integer known = appliedContentHashes.putIfAbsent(entry.index(), contentHash);
        check(
                known == null || known == contentHash,
                "one order: entry " + entry.index() + " applied with two different contents");
        checkState(entry.index(), stateHash);
    }

    /** Checks a member's state after an index, reached by applying entries or from a snapshot. */
    void checkState(long index, int stateHash) {
        Integer known = stateHashes.putIfAbsent(index, stateHash);
        check(
                known == null || known == stateHash,
                "one state: states of members differ after entry " + index);
    }

    /** Checks the position at which a member applies a change. */
    void checkChangeApplied(long change, int position) {
        if (position == appliedChanges.size()) {
            check(!appliedChanges.contains(change), "twice: change " + change + " applied again");
            appliedChanges.add(change);
        }
        check(
                appliedChanges.get(position) == change,
                "one order: change "
                        + change
                        + " applied at position "
                        + position
                        + ", expected change "
                        + appliedChanges.get(position));
    }

    /** The number of applied changes that an operation started now must see. */
    int requiredLength() {
        return requiredLength;
    }

    void checkAcknowledged(long change, int position, int requiredAtStart) {
        check(
                position < appliedChanges.size() && appliedChanges.get(position) == change,
                "lost: change " + change + " acknowledged but not applied at position " + position);
        check(
                position >= requiredAtStart,
                "linearizable: change "
                        + change
                        + " applied at position "
                        + position
                        + ", expected "
                        + requiredAtStart
                        + " or later");
        acknowledged.add(change);
        requiredLength = Math.max(requiredLength, position + 1);
    }

    void checkRead(List<Long> changes, int requiredAtStart) {
        check(
                changes.size() <= appliedChanges.size()
                        && changes.equals(appliedChanges.subList(0, changes.size())),
                "linearizable: a read returned changes that are not a prefix of the applied ones");
        check(
                changes.size() >= requiredAtStart,
                "linearizable: a read returned "
                        + changes.size()
                        + " changes, expected at least "
                        + requiredAtStart);
        requiredLength = Math.max(requiredLength, changes.size());
    }

    /** Checks a member's state at the end of the run. */
    void checkFinalState(List<Long> changes) {
        check(
                new HashSet<>(changes).size() == changes.size(),
                "twice: the final state contains a change more than once");
        check(
                new HashSet<>(changes).containsAll(acknowledged),
                "lost: the final state lacks an acknowledged change");
    }

    int acknowledged() {
        return acknowledged.size();
    }
}
