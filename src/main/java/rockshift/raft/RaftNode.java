package rockshift.raft;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * One member of a Raft cluster. The host calls an input method for each event, then {@link #poll}
 * until it returns false. Input methods only update state; {@code poll} passes the resulting
 * actions to {@link RaftOutput}.
 *
 * <p>This class passes each input to the class responsible for it, and makes the transitions that
 * involve several of them: entering a new term, becoming leader and stepping down. The conditions
 * that safety depends on are in {@link SafetyRules}; docs/raft.md describes the protocol.
 *
 * <p>Times are in ticks of 100 us on the host's monotonic clock. The host must pass the current
 * time before any other input, so that after a suspension the member first acts on the elapsed
 * time, for example steps down. A member must be used by a single thread.
 */
public final class RaftNode {
    /** Maximum size of a change. */
    public static final int MAX_CHANGE_BYTES = 64 << 10;

    /** The role of a member in the current term. */
    public enum Role {
        /** Follows a leader, or waits for one. */
        FOLLOWER,
        /** Runs a pre-vote: asks whether it would be elected. */
        PRE_CANDIDATE,
        /** Requests votes in a new term. */
        CANDIDATE,
        /** Replicates its log to the other members. */
        LEADER
    }

    /**
     * The status of a member, for operators and for invariant checks.
     *
     * @param leader the id of the leader known to the member, 0 if none
     * @param firstIndex the index of the first entry that it still holds
     * @param matchIndexes on a leader, the index up to which each follower's log is known to match
     * @param holdsLease whether it may answer reads without asking a quorum
     */
    public record Status(
            Role role,
            long term,
            long leader,
            long commitIndex,
            long appliedIndex,
            long durableIndex,
            long firstIndex,
            long lastIndex,
            Membership membership,
            Map<Long, Long> matchIndexes,
            boolean holdsLease) {}

    private final long id;
    private final SafetyRules rules;
    private final DurabilityTracker durability;
    private final ReplicatedLog log;
    private final CommitTracker commits;
    private final Outbox outbox;
    private final Election election;
    private final Leadership leadership;
    private final AppendReceiver appendReceiver;
    private final SnapshotReceiver snapshotReceiver;

    /** Log lines that have not been passed to the host yet. */
    private final ArrayDeque<String> pendingLogLines = new ArrayDeque<>();

    private long nowTicks;

    /**
     * Creates a member with the state recovered from its disk.
     *
     * @param random source of the randomized election timeouts
     * @param snapshot the newest snapshot
     * @param entries the entries after the snapshot
     */
    public RaftNode(
            long id,
            Timing timing,
            SafetyRules rules,
            RandomGenerator random,
            long nowTicks,
            TermAndVote termAndVote,
            Snapshot snapshot,
            List<Entry> entries) {
        this.id = id;
        this.rules = rules;
        this.nowTicks = nowTicks;
        durability = new DurabilityTracker(rules, termAndVote, snapshot.index() + entries.size());
        log = new ReplicatedLog(snapshot, entries, durability);
        commits = new CommitTracker(snapshot.index());
        outbox = new Outbox(durability);
        election = new Election(id, timing, rules, random, log, durability, outbox, nowTicks);
        leadership =
                new Leadership(
                        id, timing, rules, log, commits, durability, outbox, pendingLogLines::add);
        appendReceiver = new AppendReceiver(rules, log, commits, durability, outbox);
        snapshotReceiver =
                new SnapshotReceiver(log, commits, durability, outbox, pendingLogLines::add);
    }

    /** Returns the id of this member. */
    public long id() {
        return id;
    }

    /** Returns the newest term known to this member. */
    public long term() {
        return durability.term();
    }

    /** Returns whether this member is the leader of its term. */
    public boolean isLeader() {
        return election.isLeader();
    }

    /** Returns the id of the leader known to this member, 0 if none. */
    public long leader() {
        return election.leader();
    }

    /** Returns the membership in force, which may not be committed yet. */
    public Membership membership() {
        return log.membership();
    }

    /** Returns the membership that was in force at an index, which must not have been compacted. */
    public Membership membershipAt(long index) {
        return log.membershipAt(index);
    }

    /** Returns the index up to which the log is known to be committed. */
    public long commitIndex() {
        return commits.commitIndex();
    }

    /** Returns the index up to which the log has been applied on this member. */
    public long appliedIndex() {
        return commits.appliedIndex();
    }

    /** Returns the log of this member. The caller must not modify it. */
    public Log log() {
        return log.entries();
    }

    /** Returns the newest snapshot. */
    public Snapshot snapshot() {
        return log.snapshot();
    }

    /**
     * Returns whether this member is in contact with a leader that a quorum follows. A leader knows
     * this from responses, a follower from the leader's messages.
     */
    public boolean hasQuorumContact() {
        return isLeader()
                ? leadership.hasQuorumContact(nowTicks)
                : election.hasLeaderContact(nowTicks);
    }

    /** Returns the status of this member. */
    public Status status() {
        return new Status(
                election.role(),
                term(),
                leader(),
                commitIndex(),
                appliedIndex(),
                durability.durableIndex(),
                log.baseIndex() + 1,
                log.lastIndex(),
                membership(),
                leadership.matchIndexes(),
                isLeader() && leadership.isLeaseValid(nowTicks));
    }

    /**
     * Sets the founding members of the cluster, which the host has already persisted. Has no effect
     * on a member that has entries, a term or a vote.
     */
    public void bootstrap(Membership founders) {
        if (log.lastIndex() == 0 && durability.termAndVote().equals(TermAndVote.NONE)) {
            log.bootstrap(founders);
        }
    }

    /** Advances the time: campaigns, sends heartbeats or steps down if this is due. */
    public void tick(long timeTicks) {
        nowTicks = Math.max(nowTicks, timeTicks);
        if (isLeader()) {
            if (leadership.tick(nowTicks)) {
                becomeFollower(term());
            }
        } else if (election.isElectionDue(nowTicks)) {
            if (mayCampaign()) {
                election.campaign(rules.usesPreVote(), false, nowTicks);
            } else {
                election.restartTimer(nowTicks);
            }
        }
    }

    /** Reports that a write, and all writes before it, are durable. */
    public void writeCompleted(long writeNumber) {
        if (durability.writeCompleted(writeNumber, log.lastIndex()) && isLeader()) {
            continueOrStepDown(leadership.advanceCommitIndex(nowTicks));
        }
    }

    /**
     * Reports whether the disk accepts writes. If it does not, the member neither campaigns nor
     * grants votes; a leader rejects changes and transfers its leadership.
     */
    public void diskStatusChanged(boolean works) {
        if (durability.diskWorks() != works) {
            pendingLogLines.add(
                    works
                            ? "disk writes work again: voting and acknowledging entries term="
                                    + term()
                            : "disk writes fail: not voting, not acknowledging or applying new"
                                    + " entries term="
                                    + term());
        }
        durability.setDiskWorks(works);
        if (isLeader()) {
            leadership.transferIfDiskFailed(nowTicks);
        }
    }

    /**
     * Reports that the host has persisted a snapshot of the applied state. Older log entries are
     * compacted.
     */
    public void snapshotSaved(Snapshot saved) {
        if (saved.index() > snapshot().index() && saved.index() <= appliedIndex()) {
            log.compact(saved);
        }
    }

    /**
     * Requests permission to answer a read from the state applied here. {@link
     * RaftOutput#readReady} or {@link RaftOutput#readRejected} is called with the token.
     */
    public void requestRead(long token) {
        if (isLeader()) {
            leadership.requestRead(token, nowTicks);
        } else {
            leadership.reads().reject(token);
        }
    }

    /**
     * Appends an entry if this member is the leader and the limits on uncommitted entries allow it.
     */
    public ProposalResult propose(Entry.Kind kind, long session, long serial, byte[] body) {
        ProposalRejection rejection =
                isLeader() ? leadership.rejectionOf(body) : ProposalRejection.NOT_LEADER;
        if (rejection != null) {
            return ProposalResult.rejected(rejection);
        }
        Entry entry = new Entry(log.lastIndex() + 1, term(), kind, session, serial, body, null);
        leadership.append(entry, nowTicks);
        return ProposalResult.appended(entry.index());
    }

    /**
     * Adds a member, changes its role or removes it.
     *
     * @return null if the change was appended, otherwise the reason for the rejection
     */
    public ProposalRejection changeMembership(Member member, boolean remove) {
        return isLeader()
                ? leadership.changeMembership(member, remove, nowTicks)
                : ProposalRejection.NOT_LEADER;
    }

    /**
     * Brings another voter up to date and has it campaign.
     *
     * @return null if the transfer was started, otherwise the reason for the rejection
     */
    public ProposalRejection transferLeadership(long target) {
        return isLeader() ? leadership.transferTo(target, nowTicks) : ProposalRejection.NOT_LEADER;
    }

    /** Handles a message that has arrived. */
    public void receive(Message message) {
        if (message.to() != id) {
            return;
        }
        if (message instanceof Message.VoteRequest request) {
            handleVoteRequest(request);
        } else if (message.term() < term()) {
            rejectOldTerm(message);
        } else if (message instanceof Message.VoteResponse response
                && response.preVote()
                && response.granted()) {
            // Its term is that of an election that may follow, so this member does not enter it
            // yet.
            handleVoteResponse(response);
        } else {
            if (message.term() > term()) {
                becomeFollower(message.term());
            }
            handleInCurrentTerm(message);
        }
    }

    private void handleInCurrentTerm(Message message) {
        if (message instanceof Message.VoteResponse response) {
            handleVoteResponse(response);
        } else if (message instanceof Message.AppendRequest request) {
            recordLeader(request.from());
            appendReceiver.receive(request, nowTicks);
        } else if (message instanceof Message.SnapshotChunk chunk) {
            recordLeader(chunk.from());
            snapshotReceiver.receive(chunk, nowTicks);
        } else if (message instanceof Message.AppendResponse response && isLeader()) {
            continueOrStepDown(leadership.handleAppendResponse(response, nowTicks));
        } else if (message instanceof Message.SnapshotChunkResponse response && isLeader()) {
            leadership.handleChunkResponse(response, nowTicks);
        } else if (message instanceof Message.TimeoutNow && !isLeader() && mayCampaign()) {
            election.campaign(false, true, nowTicks);
        }
    }

    private void continueOrStepDown(Leadership.Continuation continuation) {
        if (continuation == Leadership.Continuation.STEP_DOWN) {
            becomeFollower(term());
        }
    }

    /**
     * Informs the leader of an older term of the current one, so that it steps down. Other messages
     * of an older term are ignored.
     */
    private void rejectOldTerm(Message message) {
        if (message instanceof Message.AppendRequest || message instanceof Message.SnapshotChunk) {
            outbox.sendWhenDurable(
                    new Message.AppendResponse(
                            id, message.from(), term(), false, 0, 0, 0, 0, 0, nowTicks));
        }
    }

    private void handleVoteRequest(Message.VoteRequest request) {
        if (election.mustIgnoreToProtectLeader(request, nowTicks)) {
            return;
        }
        if (request.preVote()) {
            election.answerPreVote(request);
            return;
        }
        if (request.term() > term()) {
            becomeFollower(request.term());
        }
        election.answerVote(request, nowTicks);
    }

    private void handleVoteResponse(Message.VoteResponse response) {
        if (!election.isExpectedVote(response) || !election.recordVote(response.from())) {
            return;
        }
        if (response.preVote()) {
            election.campaign(false, false, nowTicks);
        } else {
            becomeLeader();
        }
    }

    private boolean mayCampaign() {
        return durability.diskWorks() && membership().isVoter(id);
    }

    private void recordLeader(long from) {
        if (election.recordLeader(from, nowTicks)) {
            pendingLogLines.add(
                    "following leader=" + membership().nameOf(from) + " term=" + term());
        }
    }

    private void becomeFollower(long newTerm) {
        if (newTerm > term()) {
            durability.setTermAndVote(new TermAndVote(newTerm, 0));
        }
        leadership.stop();
        election.becomeFollower(nowTicks);
    }

    private void becomeLeader() {
        election.becomeLeader();
        pendingLogLines.add(
                "leads in term="
                        + term()
                        + " lastIndex="
                        + log.lastIndex()
                        + " commitIndex="
                        + commitIndex());
        leadership.start(nowTicks);
    }

    /**
     * Carries out the next action that is due.
     *
     * @return false if there was none
     */
    public boolean poll(RaftOutput output) {
        durability.updateDurableTermAndVote();
        if (!pendingLogLines.isEmpty()) {
            output.log(pendingLogLines.remove());
            return true;
        }
        return isLeader() && leadership.poll(nowTicks)
                || outbox.release(message -> deliver(message, output))
                || pollStorage(output)
                || leadership.reads().answerNext(appliedIndex(), output);
    }

    private void deliver(Message message, RaftOutput output) {
        if (message.to() == id) {
            receive(message);
        } else {
            output.send(message);
        }
    }

    /**
     * Starts a write of unwritten state, or passes committed and durable state to the state
     * machine.
     */
    private boolean pollStorage(RaftOutput output) {
        if (durability.canStartWrite()) {
            durability.startWrite(log.entries(), output);
        } else if (durability.canRestoreSnapshot()) {
            Snapshot installed = durability.takeSnapshotToRestore();
            output.restore(installed);
            commits.snapshotRestored(installed.index());
        } else if (!durability.hasSnapshotToRestore()
                && commits.canApply(durability.durableIndex())) {
            output.apply(log.entries().get(commits.applyNext()));
        } else {
            return false;
        }
        return true;
    }

    /**
     * Returns a text of the state that the next action depends on, without times. Equal texts mean
     * equal states.
     */
    public String fingerprint() {
        StringBuilder text = new StringBuilder();
        text.append(election.fingerprint()).append(durability.termAndVote()).append('|');
        text.append(commitIndex()).append(',').append(appliedIndex()).append(',');
        text.append(durability.fingerprint()).append(outbox.fingerprint()).append(membership());
        for (long index = log.baseIndex(); index <= log.lastIndex(); index++) {
            text.append(' ').append(log.term(index));
        }
        return text.append(leadership.fingerprint()).toString();
    }
}
