package rockshift.raft;

import java.util.function.LongPredicate;

/**
 * The conditions on which safety rests, each by itself, so that each can be read, and broken on
 * purpose to see that the checks find it. They hold no state.
 */
public class SafetyRules {
    /** A member gives one vote a term. */
    protected boolean mayVoteFor(TermAndVote ballot, long candidate) {
        return ballot.votedFor() == 0 || ballot.votedFor() == candidate;
    }

    /** A candidate's log ends no earlier than the voter's: so it holds all that is committed. */
    protected boolean isLogUpToDate(long lastIndex, long lastTerm, long ownIndex, long ownTerm) {
        return lastTerm > ownTerm || lastTerm == ownTerm && lastIndex >= ownIndex;
    }

    /** More than half of the voters. */
    protected boolean isQuorum(Membership members, LongPredicate agrees) {
        return members.countVoters(agrees) >= quorumSize(members);
    }

    protected long quorumSize(Membership members) {
        return members.voterCount() / 2 + 1;
    }

    /**
     * A leader counts copies of its own term's entries only: older ones can be overwritten though
     * most hold them.
     */
    protected boolean mayCommitByCounting(long entryTerm, long term) {
        return entryTerm == term;
    }

    /** The logs are the same up to an entry if they have the same term there. */
    protected boolean logsMatch(long prevTerm, long ownTerm) {
        return prevTerm == ownTerm;
    }

    /**
     * An entry that stands here already is kept, with all after it: an old message must not cut
     * what came later.
     */
    protected boolean entriesMatch(long entryTerm, long ownTerm) {
        return entryTerm == ownTerm;
    }

    /**
     * Who has heard from a leader, or has just started, may have promised it a lease: no other gets
     * a vote.
     */
    protected boolean honorsCurrentLeader(long now, long heardAt, Timing timing) {
        return now < heardAt + timing.electionTimeoutTicks();
    }

    /** Until when no other leader can be, as most answered what was sent at a time. */
    protected long leaseExpiry(long sentAt, Timing timing) {
        return sentAt + (long) (timing.electionTimeoutTicks() * (1 - timing.maxClockDriftRatio()));
    }

    /**
     * Whether a leader that may once have handed over holds leases: who was told to campaign is not
     * bound by them.
     */
    protected boolean mayHoldLease(boolean handedOver) {
        return !handedOver;
    }

    /** A read is answered once most have answered a round begun after it came. */
    protected boolean isReadConfirmed(long roundOfQuorum, long roundOfRead) {
        return roundOfQuorum >= roundOfRead;
    }

    /** A new leader knows what is committed only by an entry of its own term. */
    protected boolean knowsCommitIndex(long commitTerm, long term) {
        return commitTerm == term;
    }

    /** One change of members at a time, and the first of a term only on committed ground. */
    protected boolean mayChangeMembership(
            long membersIndex, long commit, long commitTerm, long term) {
        return membersIndex <= commit && commitTerm == term;
    }

    /** Whether a promise waits until what it rests on is durable. */
    protected boolean persistsBeforeSending() {
        return true;
    }

    /** Whether a candidate asks first whether it would win. */
    protected boolean usesPreVote() {
        return true;
    }

    /** A change of a session is new if its serial is beyond the last one applied. */
    protected boolean isNewSerial(long serial, long last) {
        return serial > last;
    }
}
