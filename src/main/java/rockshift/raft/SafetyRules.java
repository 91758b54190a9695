package rockshift.raft;

import java.util.function.LongPredicate;

/**
 * The conditions that the safety of Raft depends on. Each is a method of its own, so that it can be
 * reviewed by itself, and overridden with a fault to show that the tests detect it. Stateless.
 */
public class SafetyRules {
    /**
     * A member grants one vote per term; otherwise two leaders could be elected in the same term.
     */
    protected boolean mayVoteFor(TermAndVote termAndVote, long candidate) {
        return termAndVote.votedFor() == 0 || termAndVote.votedFor() == candidate;
    }

    /**
     * A candidate's log must be at least as up to date as the voter's, so that a leader holds all
     * committed entries.
     */
    protected boolean isLogUpToDate(long lastIndex, long lastTerm, long ownIndex, long ownTerm) {
        return lastTerm > ownTerm || lastTerm == ownTerm && lastIndex >= ownIndex;
    }

    /** Returns whether the voters that satisfy the condition are a majority. */
    protected boolean isQuorum(Membership members, LongPredicate condition) {
        return members.countVoters(condition) >= quorumSize(members);
    }

    /** Returns the size of a majority of the voters; any two quorums share a voter. */
    protected long quorumSize(Membership members) {
        return members.voterCount() / 2 + 1;
    }

    /**
     * A leader commits only entries of its own term by counting replicas; older entries can still
     * be overwritten although a quorum holds them.
     */
    protected boolean mayCommitByCounting(long entryTerm, long term) {
        return entryTerm == term;
    }

    /** Two logs are identical up to an index if they have the same term at that index. */
    protected boolean logsMatch(long previousTerm, long ownTerm) {
        return previousTerm == ownTerm;
    }

    /**
     * An entry that is already in the log is kept, with all entries after it; otherwise a delayed
     * message would truncate entries that were acknowledged later.
     */
    protected boolean entriesMatch(long entryTerm, long ownTerm) {
        return entryTerm == ownTerm;
    }

    /**
     * A member that is in contact with a leader, or has just started, votes for no other member: it
     * may have promised the leader a lease.
     */
    protected boolean honorsCurrentLeader(
            long nowTicks, long lastLeaderContactTicks, Timing timing) {
        return nowTicks < lastLeaderContactTicks + timing.electionTimeoutTicks();
    }

    /**
     * Returns the time until which no other member can be elected if a quorum has answered a round
     * that was started at {@code roundStartTicks}.
     */
    protected long leaseExpiry(long roundStartTicks, Timing timing) {
        double safeFraction = 1 - timing.maxClockDriftRatio();
        return roundStartTicks + (long) (timing.electionTimeoutTicks() * safeFraction);
    }

    /**
     * A leader that has started a transfer in its term holds no lease: the target campaigns without
     * waiting for the lease to expire.
     */
    protected boolean mayHoldLease(boolean transferStartedInTerm) {
        return !transferStartedInTerm;
    }

    /**
     * A read is confirmed once a quorum has answered a round that was started after the read was
     * requested.
     */
    protected boolean isReadConfirmed(long roundOfQuorum, long roundOfRead) {
        return roundOfQuorum >= roundOfRead;
    }

    /**
     * A new leader knows which entries are committed only once an entry of its own term is
     * committed.
     */
    protected boolean knowsCommitIndex(long commitTerm, long term) {
        return commitTerm == term;
    }

    /**
     * Only one membership change may be in progress, and the first in a term may start only after
     * an entry of that term is committed.
     */
    protected boolean mayChangeMembership(
            long membershipIndex, long commitIndex, long commitTerm, long term) {
        return membershipIndex <= commitIndex && commitTerm == term;
    }

    /**
     * A message that depends on state, such as a vote, is sent only when that state is durable;
     * otherwise a crash would break the promise made by it.
     */
    protected boolean persistsBeforeSending() {
        return true;
    }

    /** Returns whether a candidate first asks in a pre-vote whether it would win. */
    protected boolean usesPreVote() {
        return true;
    }

    /** A change in a session is applied if its serial is greater than the last one applied. */
    protected boolean isNewSerial(long serial, long lastSerial) {
        return serial > lastSerial;
    }
}
