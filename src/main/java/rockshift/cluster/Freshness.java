package rockshift.cluster;

import rockshift.model.Ticks;
import rockshift.raft.Message;
import rockshift.raft.RaftNode;

/**
 * Tracks the time up to which the state applied by a member is known to contain all committed
 * changes. A leader that a quorum has answered within the last election timeout was still the
 * leader at the start of that timeout. A follower is as fresh as its leader was when it announced
 * its commit index, once the entries up to that index are applied. Used only by the member's
 * thread.
 */
final class Freshness {
    private final long electionTimeoutMillis;
    private long freshAtMillis = Long.MIN_VALUE;

    /** The commit index that the leader announced and that is not yet applied here, or 0. */
    private long announcedIndex;

    private long announcedAtMillis;

    Freshness(long electionTimeoutTicks) {
        electionTimeoutMillis = electionTimeoutTicks / Ticks.TICKS_PER_MILLI;
    }

    /** Called for each message from another member. */
    void messageReceived(Message message, RaftNode raft, long nowMillis) {
        if (message instanceof Message.AppendRequest append
                && append.from() == raft.leader()
                && announcedIndex == 0) {
            announcedIndex = Math.max(1, append.leaderCommitIndex());
            announcedAtMillis = nowMillis;
        }
    }

    /**
     * Returns the time in ms up to which all committed changes are known to be applied here, or
     * {@link Long#MIN_VALUE} if there is none.
     */
    long freshAt(RaftNode raft, long nowMillis) {
        if (raft.isLeader()) {
            announcedIndex = 0;
            if (raft.hasQuorumContact()
                    && raft.appliedIndex() == raft.commitIndex()
                    && raft.log().term(raft.commitIndex()) == raft.term()) {
                freshAtMillis = nowMillis - electionTimeoutMillis;
            }
        } else if (announcedIndex > 0 && raft.appliedIndex() >= announcedIndex) {
            freshAtMillis = Math.max(freshAtMillis, announcedAtMillis - electionTimeoutMillis);
            announcedIndex = 0;
        }
        return freshAtMillis;
    }
}
