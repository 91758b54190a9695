/**
 * The Raft protocol alone: elections, the replicated log, membership, snapshots, reads and
 * sessions, as decisions on messages and time that are handed in. It owns what one member knows and
 * promises. It never does I/O, reads a clock, starts a thread or draws random numbers of its own,
 * and nothing in it knows what the committed entries mean. One thread uses a member.
 *
 * <p>{@link rockshift.raft.RaftNode} passes each input to the class that owns its concern: {@link
 * rockshift.raft.Election} (roles, votes, pre-vote), {@link rockshift.raft.Leadership} (with {@link
 * rockshift.raft.Replication}, {@link rockshift.raft.QuorumReads}, {@link
 * rockshift.raft.LeaderLease} and {@link rockshift.raft.LeadershipTransfer}), {@link
 * rockshift.raft.AppendReceiver} and {@link rockshift.raft.SnapshotReceiver} (a follower's side),
 * {@link rockshift.raft.ReplicatedLog}, {@link rockshift.raft.CommitTracker}, {@link
 * rockshift.raft.DurabilityTracker} and {@link rockshift.raft.Outbox}. The conditions on which
 * safety rests are {@link rockshift.raft.SafetyRules}.
 */
package rockshift.raft;
