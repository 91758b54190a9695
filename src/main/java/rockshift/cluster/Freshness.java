package rockshift.cluster;

import rockshift.raft.Message;
import rockshift.raft.RaftNode;

/**
 * Tells up to when what a member has applied was the newest that was agreed. A leader that most
 * answered within an election time was the leader then; a follower is as fresh as its leader was
 * when it last told how far entries are agreed, once these are applied.
 */
final class Freshness {
    private static final int TENTHS_PER_MILLI = 10;

    private final long electionMs;
    private long freshAt = Long.MIN_VALUE;

    /**
     * Up to where the leader said that entries are agreed, and when that came; 0 where nothing is
     * waited for.
     */
    private long announced;

    private long announcedAt;

    /**
     * @param election tenths of a ms
     */
    Freshness(long election) {
        electionMs = election / TENTHS_PER_MILLI;
    }

    /** A message came to a member. */
    public void messageReceived(Message message, RaftNode raft, long nowMs) {
        if (message instanceof Message.AppendRequest append
                && append.from() == raft.leader()
                && announced == 0) {
            announced = Math.max(1, append.leaderCommitIndex());
            announcedAt = nowMs;
        }
    }

    /**
     * Ms of the time up to which all that was agreed is known to be applied here; the lowest long
     * if it never was.
     */
    public long freshAt(RaftNode raft, long nowMs) {
        if (raft.isLeader()) {
            announced = 0;
            if (raft.hasQuorumContact()
                    && raft.appliedIndex() == raft.commitIndex()
                    && raft.log().term(raft.commitIndex()) == raft.term()) {
                freshAt = nowMs - electionMs;
            }
        } else if (announced > 0 && raft.appliedIndex() >= announced) {
            freshAt = Math.max(freshAt, announcedAt - electionMs);
            announced = 0;
        }
        return freshAt;
    }
}
