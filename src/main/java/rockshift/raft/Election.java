package rockshift.raft;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Leader election: this member's role, the leader known to it, its election timer, and the votes
 * that it grants and receives.
 *
 * <p>An election starts with a pre-vote, which asks whether the vote would be granted and binds
 * nobody. Without a pre-vote, a member that was cut off would depose a working leader with its
 * higher term when it is reconnected.
 */
final class Election {
    private static final long NO_LEADER = 0;

    private final long id;
    private final Timing timing;
    private final SafetyRules rules;
    private final RandomGenerator random;
    private final ReplicatedLog log;
    private final DurabilityTracker durability;
    private final Outbox outbox;

    private RaftNode.Role role = RaftNode.Role.FOLLOWER;
    private long leader = NO_LEADER;
    private long lastLeaderContactTicks;
    private long electionDueTicks;
    private final Set<Long> grantingVoters = new HashSet<>();

    /**
     * Creates a follower that knows no leader. It may have promised a leader a lease just before it
     * crashed, so it waits as if it had contact with a leader now.
     */
    Election(
            long id,
            Timing timing,
            SafetyRules rules,
            RandomGenerator random,
            ReplicatedLog log,
            DurabilityTracker durability,
            Outbox outbox,
            long nowTicks) {
        this.id = id;
        this.timing = timing;
        this.rules = rules;
        this.random = random;
        this.log = log;
        this.durability = durability;
        this.outbox = outbox;
        lastLeaderContactTicks = nowTicks;
        restartTimer(nowTicks);
    }

    RaftNode.Role role() {
        return role;
    }

    boolean isLeader() {
        return role == RaftNode.Role.LEADER;
    }

    /** Returns the id of the leader known to this member, 0 if none. */
    long leader() {
        return isLeader() ? id : leader;
    }

    /** Returns whether a follower has heard from its leader within two election timeouts. */
    boolean hasLeaderContact(long nowTicks) {
        return leader != NO_LEADER
                && nowTicks < lastLeaderContactTicks + 2 * timing.electionTimeoutTicks();
    }

    boolean isElectionDue(long nowTicks) {
        return nowTicks >= electionDueTicks;
    }

    /**
     * Restarts the timer with a full election timeout, as another member leads or may be elected
     * soon.
     */
    void restartTimer(long nowTicks) {
        long timeout = timing.electionTimeoutTicks();
        electionDueTicks = nowTicks + timeout + random.nextLong(timeout / 2);
    }

    void becomeLeader() {
        role = RaftNode.Role.LEADER;
        leader = id;
    }

    void becomeFollower(long nowTicks) {
        role = RaftNode.Role.FOLLOWER;
        leader = NO_LEADER;
        restartTimer(nowTicks);
    }

    /**
     * Records contact with the leader of the current term.
     *
     * @return whether the leader was not known before
     */
    boolean recordLeader(long from, long nowTicks) {
        boolean isNew = leader != from;
        role = RaftNode.Role.FOLLOWER;
        leader = from;
        lastLeaderContactTicks = nowTicks;
        restartTimer(nowTicks);
        return isNew;
    }

    /**
     * Starts a pre-vote or an election: requests the votes of the other voters.
     *
     * @param preVote whether to only ask if the votes would be granted
     * @param leadershipTransfer whether the leader itself asked this member to campaign
     */
    void campaign(boolean preVote, boolean leadershipTransfer, long nowTicks) {
        role = preVote ? RaftNode.Role.PRE_CANDIDATE : RaftNode.Role.CANDIDATE;
        leader = NO_LEADER;
        grantingVoters.clear();
        // Voters that still wait for the old leader refuse a pre-vote. It is retried soon, as it
        // cannot disturb a working leader.
        long retryTicks = timing.electionTimeoutTicks() / (preVote ? 5 : 2);
        electionDueTicks = nowTicks + retryTicks + random.nextLong(retryTicks);
        long term = durability.term() + 1;
        if (!preVote) {
            durability.setTermAndVote(new TermAndVote(term, id));
        }
        for (Member member : log.membership().all()) {
            if (member.id() != id && member.role() == Member.Role.VOTER) {
                outbox.sendWhenDurable(
                        new Message.VoteRequest(
                                id,
                                member.id(),
                                term,
                                log.lastIndex(),
                                log.lastTerm(),
                                preVote,
                                leadershipTransfer));
            }
        }
        // Like any other vote, the candidate's own counts only once it is durable.
        outbox.sendWhenDurable(new Message.VoteResponse(id, id, term, preVote, true));
    }

    /**
     * Returns whether a response grants the vote or pre-vote that this member currently requests.
     */
    boolean isExpectedVote(Message.VoteResponse response) {
        if (!response.granted()) {
            return false;
        }
        return response.preVote()
                ? role == RaftNode.Role.PRE_CANDIDATE && response.term() == durability.term() + 1
                : role == RaftNode.Role.CANDIDATE;
    }

    /**
     * Records a granted vote.
     *
     * @return whether a quorum has granted its votes
     */
    boolean recordVote(long voter) {
        grantingVoters.add(voter);
        return rules.isQuorum(log.membership(), grantingVoters::contains);
    }

    /**
     * Returns whether a vote request must be left unanswered because its newer term would depose a
     * working leader: this member itself, or one that it is in contact with. A request of this
     * member's own term deposes nobody and is answered, and so is one that follows a leadership
     * transfer.
     */
    boolean mustIgnoreToProtectLeader(Message.VoteRequest request, long nowTicks) {
        boolean honorsLeader =
                !request.leadershipTransfer()
                        && (isLeader()
                                || rules.honorsCurrentLeader(
                                        nowTicks, lastLeaderContactTicks, timing));
        return request.term() > durability.term() && honorsLeader;
    }

    void answerPreVote(Message.VoteRequest request) {
        boolean granted = request.term() > durability.term() && isEligible(request);
        long term = granted ? request.term() : durability.term();
        outbox.sendWhenDurable(new Message.VoteResponse(id, request.from(), term, true, granted));
    }

    /**
     * Grants or refuses a vote. The caller has already entered the request's term if it is newer.
     */
    void answerVote(Message.VoteRequest request, long nowTicks) {
        boolean mayVote = role == RaftNode.Role.FOLLOWER || role == RaftNode.Role.PRE_CANDIDATE;
        boolean granted =
                request.term() == durability.term()
                        && isEligible(request)
                        && mayVote
                        && rules.mayVoteFor(durability.termAndVote(), request.from());
        if (granted) {
            durability.setTermAndVote(new TermAndVote(durability.term(), request.from()));
            role = RaftNode.Role.FOLLOWER;
            restartTimer(nowTicks);
        }
        outbox.sendWhenDurable(
                new Message.VoteResponse(id, request.from(), durability.term(), false, granted));
    }

    /**
     * Returns whether a candidate may be granted a vote: its log must be at least as up to date as
     * this one (compared by last term, then last index), and the disk must be able to store the
     * vote.
     */
    private boolean isEligible(Message.VoteRequest request) {
        return durability.diskWorks()
                && rules.isLogUpToDate(
                        request.lastLogIndex(),
                        request.lastLogTerm(),
                        log.lastIndex(),
                        log.lastTerm());
    }

    /** Returns this object's part of {@link RaftNode#fingerprint}. */
    String fingerprint() {
        return "" + role + leader + grantingVoters;
    }
}
