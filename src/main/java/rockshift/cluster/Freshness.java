package rockshift.cluster;

import rockshift.model.Ticks;
import rockshift.raft.Message;
import rockshift.raft.RaftNode;

/**
 * Up to when what a member has applied was the newest that was agreed. A leader that a quorum
 * answered within an election timeout was the leader then. A follower is as fresh as its leader was
 * when it last announced its commit index, once the entries up to that are applied. Used by the
 * member's thread alone.
 */
final class Freshness {
    private final long electionTimeoutMillis;
    private long freshAtMillis = Long.MIN_VALUE;

    /** The commit index that the leader has announced, while it is not applied here; or 0. */
    private long announcedIndex;

    private long announcedAtMillis;

    Freshness(long electionTimeoutTicks) {
        electionTimeoutMillis = electionTimeoutTicks / Ticks.TICKS_PER_MILLI;
    }

    /** A message has come to the member. */
    void messageReceived(Message message, RaftNode raft, long nowMillis) {
        if (message instanceof Message.AppendRequest append
                && append.from() == raft.leader()
                && announcedIndex == 0) {
            announcedIndex = Math.max(1, append.leaderCommitIndex());
            announcedAtMillis = nowMillis;
        }
    }

    /**
     * The time up to which all that was agreed is known to be applied here, in ms; {@link
     * Long#MIN_VALUE} if it never was.
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
