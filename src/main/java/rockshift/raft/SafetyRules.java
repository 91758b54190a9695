package rockshift.raft;

import java.util.function.LongPredicate;

/**
 * The conditions on which Raft's safety rests, one method each, so that each can be read by itself,
 * and broken on purpose to show that the tests find it. They hold no state.
 */
public class SafetyRules {
    /** A member gives one vote a term; else two leaders could be elected in it. */
    protected boolean mayVoteFor(TermAndVote termAndVote, long candidate) {
        return termAndVote.votedFor() == 0 || termAndVote.votedFor() == candidate;
    }

    /**
     * A candidate's log ends no earlier than the voter's; so a leader holds all that is committed.
     */
    protected boolean isLogUpToDate(long lastIndex, long lastTerm, long ownIndex, long ownTerm) {
        return lastTerm > ownTerm || lastTerm == ownTerm && lastIndex >= ownIndex;
    }

    /** Whether those who agree are a majority of the voters. */
    protected boolean isQuorum(Membership members, LongPredicate agrees) {
        return members.countVoters(agrees) >= quorumSize(members);
    }

    /** A majority: two quorums always share a voter. */
    protected long quorumSize(Membership members) {
        return members.voterCount() / 2 + 1;
    }

    /**
     * A leader counts copies of its own term's entries only: older ones can still be overwritten
     * though a quorum holds them.
     */
    protected boolean mayCommitByCounting(long entryTerm, long term) {
        return entryTerm == term;
    }

    /** Two logs are the same up to an index if they have the same term there. */
    protected boolean logsMatch(long previousTerm, long ownTerm) {
        return previousTerm == ownTerm;
    }

    /**
     * An entry that is in the log already is kept with all after it; else a delayed message would
     * truncate what was acknowledged later.
     */
    protected boolean entriesMatch(long entryTerm, long ownTerm) {
        return entryTerm == ownTerm;
    }

    /**
     * A member in contact with a leader, or just started, votes for no other: it may have promised
     * the leader a lease.
     */
    protected boolean honorsCurrentLeader(
            long nowTicks, long lastLeaderContactTicks, Timing timing) {
        return nowTicks < lastLeaderContactTicks + timing.electionTimeoutTicks();
    }

    /** Until when no other member can be elected, if a quorum answered what was sent at a time. */
    protected long leaseExpiry(long roundStartTicks, Timing timing) {
        double safeShare = 1 - timing.maxClockDriftRatio();
        return roundStartTicks + (long) (timing.electionTimeoutTicks() * safeShare);
    }

    /**
     * A leader that may have had another campaign holds no lease: the target of a transfer does not
     * wait for it to end.
     */
    protected boolean mayHoldLease(boolean transferStartedInTerm) {
        return !transferStartedInTerm;
    }

    /** A read is answered once a quorum has answered a round that was begun after it came. */
    protected boolean isReadConfirmed(long roundOfQuorum, long roundOfRead) {
        return roundOfQuorum >= roundOfRead;
    }

    /** A new leader knows what is committed only by a committed entry of its own term. */
    protected boolean knowsCommitIndex(long commitTerm, long term) {
        return commitTerm == term;
    }

    /**
     * One membership change at a time, and the first of a term only after an entry of that term is
     * committed.
     */
    protected boolean mayChangeMembership(
            long membershipIndex, long commitIndex, long commitTerm, long term) {
        return membershipIndex <= commitIndex && commitTerm == term;
    }

    /** A promise is sent only when what it rests on is durable; else a crash would break it. */
    protected boolean persistsBeforeSending() {
        return true;
    }

    /** Whether a candidate first asks whether it would win. */
    protected boolean usesPreVote() {
        return true;
    }

    /** A change of a session is applied if its serial is beyond the last one applied. */
    protected boolean isNewSerial(long serial, long lastSerial) {
        return serial > lastSerial;
    }
}
