package rockshift.raft;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Who leads, and how that is decided: this member's role, the leader that it knows of, its election
 * timer, the votes that it gives and those that it is given.
 *
 * <p>An election starts with a pre-vote, which asks whether the vote would be given and binds
 * nobody. Guards against a member that was cut off and would depose a working leader with its
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
    private final Set<Long> votesGranted = new HashSet<>();

    /**
     * A follower that knows of no leader. It may have promised a lease just before it crashed, so
     * it waits as if it had contact with a leader now.
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

    /** The leader that this member knows of, 0 if none. */
    long leader() {
        return isLeader() ? id : leader;
    }

    /** Whether a follower has had contact with its leader lately. */
    boolean hasLeaderContact(long nowTicks) {
        return leader != NO_LEADER
                && nowTicks < lastLeaderContactTicks + 2 * timing.electionTimeoutTicks();
    }

    boolean isElectionDue(long nowTicks) {
        return nowTicks >= electionDueTicks;
    }

    /** Waits a whole election timeout, as another member leads or may soon. */
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

    /** Records contact with the leader of the current term; true if it was not known before. */
    boolean recordLeader(long from, long nowTicks) {
        boolean isNew = leader != from;
        role = RaftNode.Role.FOLLOWER;
        leader = from;
        lastLeaderContactTicks = nowTicks;
        restartTimer(nowTicks);
        return isNew;
    }

    /**
     * Asks the other voters for their votes.
     *
     * @param preVote only asks whether they would give them
     * @param leadershipTransfer the leader itself asked this member to campaign
     */
    void campaign(boolean preVote, boolean leadershipTransfer, long nowTicks) {
        role = preVote ? RaftNode.Role.PRE_CANDIDATE : RaftNode.Role.CANDIDATE;
        leader = NO_LEADER;
        votesGranted.clear();
        // A pre-vote is refused by those that still wait for the old leader. It harms nobody, and
        // so is repeated soon.
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
        // Its own vote counts once it is durable, like any other's.
        outbox.sendWhenDurable(new Message.VoteResponse(id, id, term, preVote, true));
    }

    /** Whether a response grants what this member currently asks for. */
    boolean isExpectedVote(Message.VoteResponse response) {
        if (!response.granted()) {
            return false;
        }
        return response.preVote()
                ? role == RaftNode.Role.PRE_CANDIDATE && response.term() == durability.term() + 1
                : role == RaftNode.Role.CANDIDATE;
    }

    /** Takes a vote; true if a quorum has given theirs by now. */
    boolean recordVote(long voter) {
        votesGranted.add(voter);
        return rules.isQuorum(log.membership(), votesGranted::contains);
    }

    /**
     * Whether a request is left without an answer: its newer term would depose a leader that this
     * member is, or is in contact with. A request of this member's own term deposes nobody and is
     * answered; so is one that a leader asked for by a transfer.
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

    /** Gives or refuses a vote; a newer term has been taken over already. */
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
     * A vote needs a log at least as up to date as this one (last term, then last index), and a
     * disk that can keep the promise.
     */
    private boolean isEligible(Message.VoteRequest request) {
        return durability.diskWorks()
                && rules.isLogUpToDate(
                        request.lastLogIndex(),
                        request.lastLogTerm(),
                        log.lastIndex(),
                        log.lastTerm());
    }

    /** The state that the next step depends on, for {@link RaftNode#fingerprint}. */
    String fingerprint() {
        return "" + role + leader + votesGranted;
    }
}
