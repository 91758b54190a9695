package rockshift.raft;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * One member's part in the Raft protocol. The host calls an input method for each thing that
 * happens, then {@link #poll} until that returns false; decisions are carried out through {@link
 * RaftOutput}. Inputs only update what is known.
 *
 * <p>This class passes each input to the class that owns its concern, and makes the transitions
 * that touch several of them: a new term, the start and the end of leading. The conditions on which
 * safety rests stand in {@link SafetyRules}; docs/raft.md describes the protocol.
 *
 * <p>Times are ticks of 100 us on the host's monotonic clock. The host hands in the time before
 * anything else, so that a member that was suspended notices that first. It must be used by one
 * thread.
 */
public final class RaftNode {
    /** Bytes of the largest change. */
    public static final int MAX_CHANGE_BYTES = 64 << 10;

    /** What a member is in the current term. */
    public enum Role {
        /** Follows a leader, or waits for one. */
        FOLLOWER,
        /** Asks whether it would be elected. */
        PRE_CANDIDATE,
        /** Asks for votes in a new term. */
        CANDIDATE,
        /** Leads. */
        LEADER
    }

    /**
     * The state of a member, for operators and for checks.
     *
     * @param leader the leader that it knows of, 0 if none
     * @param firstIndex the first entry that it still holds
     * @param matchIndexes of a leader, up to where each follower's log is known to match
     * @param holdsLease whether it may answer reads at once
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

    /** Lines for the host's log. */
    private final ArrayDeque<String> logLines = new ArrayDeque<>();

    private long nowTicks;

    /**
     * A member as its disk has it.
     *
     * @param random decides how long it waits before it campaigns
     * @param snapshot the newest one
     * @param entries those above the snapshot
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
                new Leadership(id, timing, rules, log, commits, durability, outbox, logLines::add);
        appendReceiver = new AppendReceiver(rules, log, commits, durability, outbox);
        snapshotReceiver = new SnapshotReceiver(log, commits, durability, outbox, logLines::add);
    }

    // ---- what is known --------------------------------------------------------------------------

    /** This member's id. */
    public long id() {
        return id;
    }

    /** The newest term that this member knows. */
    public long term() {
        return durability.term();
    }

    /** Whether this member leads in its term. */
    public boolean isLeader() {
        return election.isLeader();
    }

    /** The leader that this member knows of, 0 if none. */
    public long leader() {
        return election.leader();
    }

    /** The membership in force, which may not be committed yet. */
    public Membership membership() {
        return log.membership();
    }

    /** The membership that was in force at an index that is still kept. */
    public Membership membershipAt(long index) {
        return log.membershipAt(index);
    }

    /** Up to where the log is known to be committed. */
    public long commitIndex() {
        return commits.commitIndex();
    }

    /** Up to where the log has been applied here. */
    public long appliedIndex() {
        return commits.appliedIndex();
    }

    /** The entries that this member holds; only for reading. */
    public Log log() {
        return log.entries();
    }

    /** The newest snapshot. */
    public Snapshot snapshot() {
        return log.snapshot();
    }

    /**
     * Whether this member is in touch with a leader that a quorum follows: a leader knows by
     * answers, a follower by the leader's messages.
     */
    public boolean hasQuorumContact() {
        return isLeader()
                ? leadership.hasQuorumContact(nowTicks)
                : election.hasLeaderContact(nowTicks);
    }

    /** The state of this member. */
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
                isLeader() && leadership.leaseHolds(nowTicks));
    }

    // ---- inputs ---------------------------------------------------------------------------------

    /** Gives a blank member the founders of its cluster; the host has persisted them. */
    public void bootstrap(Membership founders) {
        if (log.lastIndex() == 0 && durability.termAndVote().equals(TermAndVote.NONE)) {
            log.bootstrap(founders);
        }
    }

    /** Time passes. */
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

    /** A write is durable, with everything before it. */
    public void writeCompleted(long writeNumber) {
        if (durability.writeCompleted(writeNumber, log.lastIndex()) && isLeader()) {
            continueOrStepDown(leadership.advanceCommitIndex(nowTicks));
        }
    }

    /**
     * Whether the disk accepts writes. A member whose disk does not continues to serve, but neither
     * leads nor campaigns.
     */
    public void diskStatusChanged(boolean works) {
        if (durability.diskWorks() != works) {
            logLines.add(
                    works
                            ? "disk takes entries again"
                            : "disk writes fail: not voting, not acknowledging or applying new"
                                    + " entries");
        }
        durability.setDiskWorks(works);
        if (isLeader()) {
            leadership.transferIfDiskFailed(nowTicks);
        }
    }

    /** The host has persisted a snapshot of what is applied: entries below it are dropped. */
    public void snapshotSaved(Snapshot saved) {
        if (saved.index() > snapshot().index() && saved.index() <= appliedIndex()) {
            log.compact(saved);
        }
    }

    /** Asks for permission to answer a read from what is applied here. */
    public void requestRead(long token) {
        if (isLeader()) {
            leadership.requestRead(token, nowTicks);
        } else {
            leadership.reads().reject(token);
        }
    }

    /** Appends a change, if this member leads and has room for it. */
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

    /** Adds a member, changes its role, or removes it; answers null, or why not. */
    public ProposalRejection changeMembership(Member member, boolean remove) {
        return isLeader()
                ? leadership.changeMembership(member, remove, nowTicks)
                : ProposalRejection.NOT_LEADER;
    }

    /** Brings another voter up to date and has it campaign; answers null, or why not. */
    public ProposalRejection transferLeadership(long target) {
        return isLeader() ? leadership.transferTo(target, nowTicks) : ProposalRejection.NOT_LEADER;
    }

    /** A message arrived. */
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
            // Its term is the one that would come, and is not entered for it.
            handleVote(response);
        } else {
            if (message.term() > term()) {
                becomeFollower(message.term());
            }
            handleInCurrentTerm(message);
        }
    }

    // ---- messages -------------------------------------------------------------------------------

    private void handleInCurrentTerm(Message message) {
        if (message instanceof Message.VoteResponse response) {
            handleVote(response);
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

    /** Tells the leader of an older term of this one, so that it ends; answers mean nothing now. */
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

    private void handleVote(Message.VoteResponse response) {
        if (!election.isExpectedVote(response) || !election.recordVote(response.from())) {
            return;
        }
        if (response.preVote()) {
            election.campaign(false, false, nowTicks);
        } else {
            becomeLeader();
        }
    }

    // ---- transitions ----------------------------------------------------------------------------

    private boolean mayCampaign() {
        return durability.diskWorks() && membership().isVoter(id);
    }

    private void recordLeader(long from) {
        if (election.recordLeader(from, nowTicks)) {
            logLines.add("follows " + membership().nameOf(from) + " in term " + term());
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
        logLines.add(
                "leads in term "
                        + term()
                        + " with "
                        + log.lastIndex()
                        + " entries, "
                        + commitIndex()
                        + " known agreed");
        leadership.start(nowTicks);
    }

    // ---- outputs --------------------------------------------------------------------------------

    /** Carries out one step, if there is one to take now; false if there is none. */
    public boolean poll(RaftOutput output) {
        durability.settleTermAndVote();
        if (!logLines.isEmpty()) {
            output.log(logLines.remove());
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

    /** Writes what is unwritten, and gives the state machine what is committed and durable. */
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

    /** The state that the next step depends on, times left out: equal texts mean equal states. */
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
