package rockshift.raft;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The duties of a leader: accepting, replicating and committing proposals, confirming reads,
 * changing the membership and transferring leadership. {@link RaftNode} calls it only while this
 * member is the leader, except for {@link #stop} and reads that are still to be answered. If a
 * method returns that the leader must step down, the caller does so at once.
 */
final class Leadership {
    /** Whether this member remains the leader after a commit. */
    enum Continuation {
        STAY_LEADER,
        /** The leader's own removal as a voter is committed: it becomes a follower. */
        STEP_DOWN
    }

    /** Limits on uncommitted entries and bytes. Proposals beyond them are rejected, not queued. */
    private static final int MAX_UNCOMMITTED_ENTRIES = 20_000;

    private static final long MAX_UNCOMMITTED_BYTES = 8 << 20;

    /** A time before any reading of the host's clock. */
    private static final long DISTANT_PAST_TICKS = Long.MIN_VALUE / 2;

    private final long id;
    private final Timing timing;
    private final SafetyRules rules;
    private final ReplicatedLog log;
    private final CommitTracker commits;
    private final DurabilityTracker durability;
    private final Outbox outbox;
    private final Consumer<String> operatorLog;
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
            Consumer<String> operatorLog) {
        this.id = id;
        this.timing = timing;
        this.rules = rules;
        this.log = log;
        this.commits = commits;
        this.durability = durability;
        this.outbox = outbox;
        this.operatorLog = operatorLog;
        replication = new Replication(id, timing, rules, log, commits, durability, outbox);
        reads = new QuorumReads(rules);
        lease = new LeaderLease(timing, rules);
    }

    /**
     * Begins a term as leader. Appends an entry of this term, because only with its commit does the
     * leader know which earlier entries are committed.
     */
    void start(long nowTicks) {
        transfer.startTerm();
        lease.startTerm();
        replication.start(nowTicks);
        append(Entry.noOp(log.lastIndex() + 1, durability.term()), nowTicks);
        if (log.membershipIndex() == 0) {
            // Members that join with an empty log learn the founding members from this entry.
            append(
                    Entry.membershipChange(
                            log.lastIndex() + 1, durability.term(), log.membership()),
                    nowTicks);
        }
        startRound(nowTicks);
    }

    /** Stops leading. Pending reads are rejected. */
    void stop() {
        replication.stop();
        transfer.cancel();
        reads.rejectAll();
    }

    QuorumReads reads() {
        return reads;
    }

    Map<Long, Long> matchIndexes() {
        return replication.matchIndexes();
    }

    /** Returns whether a quorum has responded within the last election timeout. */
    boolean hasQuorumContact(long nowTicks) {
        long quorumContactTicks =
                replication.quorumValue(
                        nowTicks, FollowerProgress::lastContactTicks, DISTANT_PAST_TICKS);
        return nowTicks < quorumContactTicks + timing.electionTimeoutTicks();
    }

    /** Returns whether reads may be answered without asking a quorum. */
    boolean isLeaseValid(long nowTicks) {
        if (!lease.isUsable(transfer.wasStartedInTerm()) || !knowsCommitIndex()) {
            return false;
        }
        long quorumRoundStartTicks =
                replication.quorumValue(
                        nowTicks, FollowerProgress::answeredRoundStartTicks, DISTANT_PAST_TICKS);
        return lease.isValid(nowTicks, quorumRoundStartTicks);
    }

    private boolean knowsCommitIndex() {
        return rules.knowsCommitIndex(log.term(commits.commitIndex()), durability.term());
    }

    /**
     * Advances the time: ends an expired transfer, sends a heartbeat if one is due, transfers
     * leadership if the disk has failed, and promotes a caught-up joining member to voter.
     *
     * @return whether the leader must step down because no quorum responds
     */
    boolean tick(long nowTicks) {
        if (!hasQuorumContact(nowTicks)) {
            operatorLog.accept("no contact with a quorum: stepping down term=" + durability.term());
            return true;
        }
        if (transfer.hasExpired(nowTicks)) {
            operatorLog.accept(
                    "leadership transfer timed out: remaining the leader target="
                            + log.membership().nameOf(transfer.target())
                            + " term="
                            + durability.term());
            transfer.cancel();
        }
        if (replication.isHeartbeatDue(nowTicks)) {
            startRound(nowTicks);
        }
        transferIfDiskFailed(nowTicks);
        promoteCaughtUpMember(nowTicks);
        return false;
    }

    /**
     * Starts a heartbeat round or sends entries if needed.
     *
     * @return whether there was anything to send
     */
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

    /** Returns why a change cannot be accepted now, or null if it can. */
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

    /** Appends an entry, which is sent to the followers at the next {@link #poll}. */
    void append(Entry entry, long nowTicks) {
        log.append(entry);
        replication.trackMembers(log.lastIndex(), nowTicks);
    }

    /**
     * Adds a read. Its read index is known at once under a lease, otherwise after a heartbeat
     * round.
     */
    void requestRead(long token, long nowTicks) {
        if (reads.isFull()) {
            reads.reject(token);
        } else if (isLeaseValid(nowTicks)) {
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

    /** Handles a follower's response and commits the entries that a quorum now holds. */
    Continuation handleAppendResponse(Message.AppendResponse response, long nowTicks) {
        FollowerProgress follower = replication.follower(response.from());
        if (follower == null) {
            return Continuation.STAY_LEADER;
        }
        follower.recordResponse(
                nowTicks, response.round(), response.sentAtTicks(), response.followerClockTicks());
        checkDriftAndConfirmReads(follower);
        if (response.success()) {
            follower.recordMatch(response.matchIndex());
            if (advanceCommitIndex(nowTicks) == Continuation.STEP_DOWN) {
                return Continuation.STEP_DOWN;
            }
            sendTimeoutNowIfReady(follower);
        } else {
            replication.handleRejection(follower, response);
        }
        replication.send(follower, nowTicks);
        return Continuation.STAY_LEADER;
    }

    /** Handles a follower's response to a snapshot chunk. */
    void handleChunkResponse(Message.SnapshotChunkResponse response, long nowTicks) {
        FollowerProgress follower = replication.follower(response.from());
        if (follower == null) {
            return;
        }
        follower.recordResponse(
                nowTicks, response.round(), response.sentAtTicks(), response.followerClockTicks());
        checkDriftAndConfirmReads(follower);
        replication.handleChunkResponse(follower, response, nowTicks);
    }

    private void checkDriftAndConfirmReads(FollowerProgress follower) {
        if (lease.recordDrift(follower.clockDriftRatio())) {
            operatorLog.accept(
                    "clock drift exceeds the limit: no lease reads in this term member="
                            + log.membership().nameOf(follower.id())
                            + " driftRatio="
                            + follower.clockDriftRatio()
                            + " limit="
                            + timing.maxClockDriftRatio()
                            + " term="
                            + durability.term());
        }
        confirmReads();
    }

    /** Commits the entries that a quorum holds. */
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
     * Completes a membership change that is now committed. Removed members are sent no further
     * messages; a leader that is no longer a voter announces the commit and steps down.
     */
    private Continuation finishMembershipChange(long nowTicks) {
        replication.dropRemovedMembers();
        if (log.membership().isVoter(id)) {
            return Continuation.STAY_LEADER;
        }
        startRound(nowTicks);
        operatorLog.accept(
                "no longer a voter: stepping down term="
                        + durability.term()
                        + " membershipIndex="
                        + log.membershipIndex());
        return Continuation.STEP_DOWN;
    }

    /**
     * Adds a member, changes its role or removes it.
     *
     * @return null if the change was appended, otherwise the reason for the rejection
     */
    ProposalRejection changeMembership(Member member, boolean remove, long nowTicks) {
        if (transfer.isActive()) {
            return ProposalRejection.TRANSFERRING_LEADERSHIP;
        }
        long commitIndex = commits.commitIndex();
        boolean allowed =
                rules.mayChangeMembership(
                        log.membershipIndex(),
                        commitIndex,
                        log.term(commitIndex),
                        durability.term());
        if (!allowed) {
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
            if (ready
                    && changeMembership(member.withRole(Member.Role.VOTER), false, nowTicks)
                            == null) {
                operatorLog.accept(
                        "member has caught up: making it a voter member="
                                + member.name()
                                + " term="
                                + durability.term()
                                + " index="
                                + log.lastIndex());
                return;
            }
        }
    }

    /**
     * Brings another voter up to date and has it campaign.
     *
     * @return null if the transfer was started, otherwise the reason for the rejection
     */
    ProposalRejection transferTo(long target, long nowTicks) {
        if (!log.membership().isVoter(target)) {
            return ProposalRejection.UNKNOWN_MEMBER;
        }
        if (target != id) {
            transfer.start(target, nowTicks + timing.electionTimeoutTicks());
            sendTimeoutNowIfReady(replication.follower(target));
        }
        return null;
    }

    /** Transfers leadership to the voter with the most complete log if the disk has failed. */
    void transferIfDiskFailed(long nowTicks) {
        if (!durability.diskWorks() && !transfer.isActive()) {
            replication.followers().stream()
                    .filter(follower -> log.membership().isVoter(follower.id()))
                    .max(Comparator.comparingLong(FollowerProgress::matchIndex))
                    .ifPresent(follower -> transferTo(follower.id(), nowTicks));
        }
    }

    /** Tells a follower to campaign if it is the target of a transfer and has the whole log. */
    private void sendTimeoutNowIfReady(FollowerProgress follower) {
        if (transfer.isTo(follower.id()) && follower.matchIndex() == log.lastIndex()) {
            outbox.send(new Message.TimeoutNow(id, follower.id(), durability.term()));
        }
    }

    /** Returns this object's part of {@link RaftNode#fingerprint}. */
    String fingerprint() {
        return replication.fingerprint();
    }
}
