package rockshift.testkit;

import java.util.List;
import java.util.random.RandomGenerator;
import rockshift.raft.ClientSessions;
import rockshift.raft.Membership;
import rockshift.raft.SafetyRules;
import rockshift.raft.TermAndVote;
import rockshift.raft.Timing;

/** Implementation mistakes, injected one at a time. The explorer must find each. */
enum PlantedFault {
    VOTE_NOT_SAVED(
            new FaultInjection() {
                @Override
                public TermAndVote persistedVote(TermAndVote termAndVote) {
                    return new TermAndVote(termAndVote.term(), 0);
                }
            }),
    TERM_NOT_SAVED(
            new FaultInjection() {
                @Override
                public TermAndVote persistedVote(TermAndVote termAndVote) {
                    return TermAndVote.NONE;
                }
            }),
    SYNC_SKIPPED(
            new FaultInjection() {
                @Override
                public boolean skipsSync() {
                    return true;
                }
            }),
    SESSIONS_LOST_IN_SNAPSHOT(
            new FaultInjection() {
                @Override
                public List<ClientSessions.Session> recoveredSessions(
                        List<ClientSessions.Session> sessions) {
                    return sessions.stream()
                            .map(
                                    session ->
                                            new ClientSessions.Session(
                                                    session.id(), 0, session.answer()))
                            .toList();
                }
            }),
    MEMBER_ID_REUSED_AFTER_WIPE(
            new FaultInjection() {
                @Override
                public long memberIdAfterWipe(long previousId, RandomGenerator random) {
                    return previousId;
                }
            }),
    CLOCKS_BEYOND_DRIFT(
            new FaultInjection() {
                @Override
                public double maxClockDrift() {
                    return 0.6;
                }
            }),
    TWO_VOTES_A_TERM(
            new SafetyRules() {
                @Override
                protected boolean mayVoteFor(TermAndVote termAndVote, long candidate) {
                    return true;
                }
            }),
    VOTE_FOR_SHORTER_LOG(
            new SafetyRules() {
                @Override
                protected boolean isLogUpToDate(
                        long lastIndex, long lastTerm, long ownIndex, long ownTerm) {
                    return true;
                }
            }),
    HALF_IS_A_QUORUM(
            new SafetyRules() {
                @Override
                protected long quorumSize(Membership members) {
                    return Math.max(1, members.voterCount() / 2);
                }
            }),
    OLD_TERM_COMMIT(
            new SafetyRules() {
                @Override
                protected boolean mayCommitByCounting(long entryTerm, long term) {
                    return true;
                }
            }),
    NO_MATCH_BEFORE_APPEND(
            new SafetyRules() {
                @Override
                protected boolean logsMatch(long previousTerm, long ownTerm) {
                    return true;
                }
            }),
    CONFLICT_KEPT(
            new SafetyRules() {
                @Override
                protected boolean entriesMatch(long entryTerm, long ownTerm) {
                    return true;
                }
            }),
    OLD_MESSAGE_TRUNCATES_LOG(
            new SafetyRules() {
                @Override
                protected boolean entriesMatch(long entryTerm, long ownTerm) {
                    return false;
                }
            }),
    RESPONSE_BEFORE_SAVE(
            new SafetyRules() {
                @Override
                protected boolean persistsBeforeSending() {
                    return false;
                }
            }),
    VOTE_DURING_LEADER_CONTACT(
            new SafetyRules() {
                @Override
                protected boolean honorsCurrentLeader(long now, long heardAt, Timing timing) {
                    return false;
                }
            }),
    LEASE_WITHOUT_QUORUM(
            new SafetyRules() {
                @Override
                protected long leaseExpiry(long roundStartTicks, Timing timing) {
                    return Long.MAX_VALUE;
                }
            }),
    LEASE_AFTER_HAND_OVER(
            new SafetyRules() {
                @Override
                protected boolean mayHoldLease(boolean transferStartedInTerm) {
                    return true;
                }
            }),
    READ_UNCONFIRMED(
            new SafetyRules() {
                @Override
                protected boolean isReadConfirmed(long roundOfQuorum, long roundOfRead) {
                    return true;
                }
            }),
    READ_BEFORE_OWN_TERM(
            new SafetyRules() {
                @Override
                protected boolean knowsCommitIndex(long commitTerm, long term) {
                    return true;
                }
            }),
    CONCURRENT_MEMBERSHIP_CHANGES(
            new SafetyRules() {
                @Override
                protected boolean mayChangeMembership(
                        long membersIndex, long commit, long commitTerm, long term) {
                    return true;
                }
            }),
    DUPLICATE_CHANGE_APPLIED(
            new SafetyRules() {
                @Override
                protected boolean isNewSerial(long serial, long lastSerial) {
                    return true;
                }
            });

    private final FaultInjection injection;

    PlantedFault(FaultInjection injection) {
        this.injection = injection;
    }

    PlantedFault(SafetyRules rules) {
        this(
                new FaultInjection() {
                    @Override
                    public SafetyRules rules() {
                        return rules;
                    }
                });
    }

    FaultInjection injection() {
        return injection;
    }

    /** The number of members in which the fault causes a violation more often. */
    int members() {
        return this == CONCURRENT_MEMBERSHIP_CHANGES ? 5 : 3;
    }
}
