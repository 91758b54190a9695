package rockshift.raft;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * What a member does while it leads: takes proposals, replicates and commits them, confirms reads,
 * changes the membership and hands leadership over. {@link RaftNode} calls it only while this
 * member leads, but for {@link #stop} and the reads that are still to be answered. Where a method
 * answers that the leader must step down, the caller does so at once.
 */
final class Leadership {
    /** Whether a member leads on after a commit. */
    enum Continuation {
        STAY_LEADER,
        /** Its own removal as a voter is committed: it becomes a follower. */
        STEP_DOWN
    }

    /** Entries and bytes that may wait to be committed; more are rejected, not queued. */
    private static final int MAX_UNCOMMITTED_ENTRIES = 20_000;

    private static final long MAX_UNCOMMITTED_BYTES = 8 << 20;

    /** An instant long before any on the host's clock. */
    private static final long LONG_AGO_TICKS = Long.MIN_VALUE / 2;

    private final long id;
    private final Timing timing;
    private final SafetyRules rules;
    private final ReplicatedLog log;
    private final CommitTracker commits;
    private final DurabilityTracker durability;
    private final Outbox outbox;
    private final Consumer<String> logLines;
    private final Replication replication;
    private final QuorumReads reads;
    private final LeaderLease lease;
    private final LeadershipTransfer transfer = new LeadershipTransfer();

    Leadership(
            long id,
            Timing timing,
            SafetyRules rules,
            ReplicatedLog log,
            CommitTracker commits,
            DurabilityTracker durability,
            Outbox outbox,
            Consumer<String> logLines) {
        this.id = id;
        this.timing = timing;
        this.rules = rules;
        this.log = log;
        this.commits = commits;
        this.durability = durability;
        this.outbox = outbox;
        this.logLines = logLines;
        replication = new Replication(id, timing, rules, log, commits, durability, outbox);
        reads = new QuorumReads(rules);
        lease = new LeaderLease(timing, rules);
    }

    // ---- begin and end --------------------------------------------------------------------------

    /**
     * This member was elected: appends an entry of its term, by which it learns what is committed.
     */
    void start(long nowTicks) {
        transfer.startTerm();
        lease.startTerm();
        replication.start(nowTicks);
        append(Entry.noOp(log.lastIndex() + 1, durability.term()), nowTicks);
        if (log.membershipIndex() == 0) {
            // Members that join with an empty log learn of the founders from the log.
            append(
                    Entry.membershipChange(
                            log.lastIndex() + 1, durability.term(), log.membership()),
                    nowTicks);
        }
        startRound(nowTicks);
    }

    /** This member leads no longer: reads that wait are rejected. */
    void stop() {
        replication.stop();
        transfer.cancel();
        reads.rejectAll();
    }

    // ---- what is known --------------------------------------------------------------------------

    QuorumReads reads() {
        return reads;
    }

    Map<Long, Long> matchIndexes() {
        return replication.matchIndexes();
    }

    /** Whether a quorum has answered within an election timeout. */
    boolean hasQuorumContact(long nowTicks) {
        long quorumContactTicks =
                replication.quorumValue(
                        nowTicks, FollowerProgress::lastContactTicks, LONG_AGO_TICKS);
        return nowTicks < quorumContactTicks + timing.electionTimeoutTicks();
    }

    /** Whether reads may be answered without asking a quorum. */
    boolean leaseHolds(long nowTicks) {
        if (!lease.isUsable(transfer.wasStartedInTerm()) || !knowsCommitIndex()) {
            return false;
        }
        long quorumRoundStartTicks =
                replication.quorumValue(
                        nowTicks, FollowerProgress::answeredRoundStartTicks, LONG_AGO_TICKS);
        return lease.holds(nowTicks, quorumRoundStartTicks);
    }

    private boolean knowsCommitIndex() {
        return rules.knowsCommitIndex(log.term(commits.commitIndex()), durability.term());
    }

    // ---- time and rounds ------------------------------------------------------------------------

    /** Time passes; true if the leader must step down, as no quorum answers it. */
    boolean tick(long nowTicks) {
        if (!hasQuorumContact(nowTicks)) {
            logLines.accept(
                    "term "
                            + durability.term()
                            + ": most members are out of reach, no longer leading");
            return true;
        }
        if (transfer.hasExpired(nowTicks)) {
            logLines.accept(
                    "hand-over to "
                            + log.membership().nameOf(transfer.target())
                            + " was not taken up");
            transfer.cancel();
        }
        if (replication.isHeartbeatDue(nowTicks)) {
            startRound(nowTicks);
        }
        transferIfDiskFailed(nowTicks);
        promoteCaughtUpMember(nowTicks);
        return false;
    }

    /** Sends what there is to send now; false if there is nothing. */
    boolean poll(long nowTicks) {
        if (reads.needsRoundAfter(replication.heartbeatRound())
                || replication.hasCommitToAnnounce()) {
            startRound(nowTicks);
            return true;
        }
        return replication.sendEntries(nowTicks);
    }

    private void startRound(long nowTicks) {
        replication.startRound(nowTicks);
        confirmReads();
    }

    // ---- proposals ------------------------------------------------------------------------------

    /** Why a change is not accepted now, null if it is. */
    ProposalRejection rejectionOf(byte[] change) {
        if (transfer.isActive()) {
            return ProposalRejection.TRANSFERRING_LEADERSHIP;
        }
        if (!durability.diskWorks()) {
            return ProposalRejection.DISK_FAILED;
        }
        if (change.length > RaftNode.MAX_CHANGE_BYTES) {
            return ProposalRejection.TOO_LARGE;
        }
        long uncommitted = log.lastIndex() - commits.commitIndex();
        boolean full =
                uncommitted >= MAX_UNCOMMITTED_ENTRIES
                        || log.bytesOfNewest(uncommitted) > MAX_UNCOMMITTED_BYTES;
        return full ? ProposalRejection.BUSY : null;
    }

    /** Appends an entry, which followers are sent at the next {@link #poll}. */
    void append(Entry entry, long nowTicks) {
        log.append(entry);
        replication.trackMembers(log.lastIndex(), nowTicks);
    }

    /** Takes a read: its index is known at once under a lease, else after a round. */
    void requestRead(long token, long nowTicks) {
        if (reads.isFull()) {
            reads.reject(token);
        } else if (leaseHolds(nowTicks)) {
            reads.addConfirmed(token, commits.commitIndex());
        } else {
            reads.awaitRound(token, replication.heartbeatRound() + 1);
        }
    }

    private void confirmReads() {
        long quorumRound =
                replication.quorumValue(
                        replication.heartbeatRound(), FollowerProgress::answeredRound, 0);
        reads.confirm(quorumRound, commits.commitIndex(), knowsCommitIndex());
    }

    // ---- answers of followers -------------------------------------------------------------------

    /** Takes a follower's answer, and commits what a quorum holds by it. */
    Continuation handleAppendResponse(Message.AppendResponse response, long nowTicks) {
        FollowerProgress follower = replication.follower(response.from());
        if (follower == null) {
            return Continuation.STAY_LEADER;
        }
        follower.recordResponse(
                nowTicks, response.round(), response.sentAtTicks(), response.followerClockTicks());
        checkClockAndReads(follower);
        if (response.success()) {
            follower.recordMatch(response.matchIndex());
            if (advanceCommitIndex(nowTicks) == Continuation.STEP_DOWN) {
                return Continuation.STEP_DOWN;
            }
            completeTransferTo(follower);
        } else {
            replication.handleRejection(follower, response);
        }
        replication.send(follower, nowTicks);
        return Continuation.STAY_LEADER;
    }

    /** Takes a follower's answer to a snapshot chunk. */
    void handleChunkResponse(Message.SnapshotChunkResponse response, long nowTicks) {
        FollowerProgress follower = replication.follower(response.from());
        if (follower == null) {
            return;
        }
        follower.recordResponse(
                nowTicks, response.round(), response.sentAtTicks(), response.followerClockTicks());
        checkClockAndReads(follower);
        replication.handleChunkResponse(follower, response, nowTicks);
    }

    private void checkClockAndReads(FollowerProgress follower) {
        if (lease.recordDrift(follower.clockDriftRatio())) {
            logLines.accept(
                    "the clock of "
                            + log.membership().nameOf(follower.id())
                            + " runs apart by more than allowed: reads without leases");
        }
        confirmReads();
    }

    /** Commits what a quorum holds. */
    Continuation advanceCommitIndex(long nowTicks) {
        long matched =
                replication.quorumValue(durability.durableIndex(), FollowerProgress::matchIndex, 0);
        long index = Math.min(matched, log.lastIndex());
        if (index <= commits.commitIndex()
                || !rules.mayCommitByCounting(log.term(index), durability.term())) {
            return Continuation.STAY_LEADER;
        }
        commits.advanceTo(index);
        return log.membershipIndex() > commits.commitIndex()
                ? Continuation.STAY_LEADER
                : finishMembershipChange(nowTicks);
    }

    /**
     * The newest membership is committed: members that it removed get no more messages. A leader
     * that is no longer a voter announces the commit and ends.
     */
    private Continuation finishMembershipChange(long nowTicks) {
        replication.dropRemovedMembers();
        if (log.membership().isVoter(id)) {
            return Continuation.STAY_LEADER;
        }
        startRound(nowTicks);
        logLines.accept("no longer a voting member, no longer leading");
        return Continuation.STEP_DOWN;
    }

    // ---- membership -----------------------------------------------------------------------------

    /** Adds a member, changes its role, or removes it; answers null, or why not. */
    ProposalRejection changeMembership(Member member, boolean remove, long nowTicks) {
        if (transfer.isActive()) {
            return ProposalRejection.TRANSFERRING_LEADERSHIP;
        }
        long commitIndex = commits.commitIndex();
        boolean settled =
                rules.mayChangeMembership(
                        log.membershipIndex(),
                        commitIndex,
                        log.term(commitIndex),
                        durability.term());
        if (!settled) {
            return ProposalRejection.MEMBERSHIP_UNSETTLED;
        }
        MembershipChange change = MembershipChange.of(log.membership(), member, remove);
        ProposalRejection rejection =
                change.rejection(replication.follower(member.id()), commitIndex);
        if (rejection == null) {
            append(
                    Entry.membershipChange(log.lastIndex() + 1, durability.term(), change.after()),
                    nowTicks);
        }
        return rejection;
    }

    private void promoteCaughtUpMember(long nowTicks) {
        for (Member member : List.copyOf(log.membership().all())) {
            FollowerProgress follower = replication.follower(member.id());
            boolean ready =
                    member.role() == Member.Role.JOINING
                            && MembershipChange.isCaughtUp(follower, commits.commitIndex())
                            && follower.mode() == FollowerProgress.Mode.REPLICATE;
            if (ready && changeMembership(member.as(Member.Role.VOTER), false, nowTicks) == null) {
                logLines.accept(member.name() + " has caught up and votes");
                return;
            }
        }
    }

    // ---- leadership transfer --------------------------------------------------------------------

    /** Brings another voter up to date and has it campaign; answers null, or why not. */
    ProposalRejection transferTo(long target, long nowTicks) {
        if (!log.membership().isVoter(target)) {
            return ProposalRejection.UNKNOWN_MEMBER;
        }
        if (target != id) {
            transfer.start(target, nowTicks + timing.electionTimeoutTicks());
            completeTransferTo(replication.follower(target));
        }
        return null;
    }

    /** A leader whose disk fails hands over to the voter that has most of the log. */
    void transferIfDiskFailed(long nowTicks) {
        if (!durability.diskWorks() && !transfer.isActive()) {
            replication.followers().stream()
                    .filter(follower -> log.membership().isVoter(follower.id()))
                    .max(Comparator.comparingLong(FollowerProgress::matchIndex))
                    .ifPresent(follower -> transferTo(follower.id(), nowTicks));
        }
    }

    /** Has the target of a transfer campaign, once it has the whole log. */
    private void completeTransferTo(FollowerProgress follower) {
        if (transfer.isTo(follower.id()) && follower.matchIndex() == log.lastIndex()) {
            outbox.send(new Message.TimeoutNow(id, follower.id(), durability.term()));
        }
    }

    /** The state that the next step depends on, for {@link RaftNode#fingerprint}. */
    String fingerprint() {
        return replication.fingerprint();
    }
}
