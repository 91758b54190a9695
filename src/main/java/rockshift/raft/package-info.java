/**
 * The Raft consensus protocol: elections, the replicated log, membership changes, snapshots,
 * linearizable reads and client sessions. The package owns the protocol state of one member and
 * decides from the messages and the time passed to it. It never does I/O, reads a clock, starts a
 * thread or uses a random source of its own, and it does not interpret committed entries. A member
 * must be used by a single thread.
 *
 * <p>{@link rockshift.raft.RaftNode} passes each input to the class responsible for it: {@link
 * rockshift.raft.Election} (roles, votes, pre-vote), {@link rockshift.raft.Leadership} (with {@link
 * rockshift.raft.Replication}, {@link rockshift.raft.QuorumReads}, {@link
 * rockshift.raft.LeaderLease} and {@link rockshift.raft.LeadershipTransfer}), {@link
 * rockshift.raft.AppendReceiver} and {@link rockshift.raft.SnapshotReceiver} (replication on a
 * follower), {@link rockshift.raft.ReplicatedLog}, {@link rockshift.raft.CommitTracker}, {@link
 * rockshift.raft.DurabilityTracker} and {@link rockshift.raft.Outbox}. The conditions that the
 * safety of the protocol depends on are in {@link rockshift.raft.SafetyRules}.
 */
package rockshift.raft;
