package rockshift.testkit;

import java.util.List;
import java.util.random.RandomGenerator;
import rockshift.raft.ClientSessions;
import rockshift.raft.Membership;
import rockshift.raft.SafetyRules;
import rockshift.raft.TermAndVote;
import rockshift.raft.Timing;

/** Mistakes that an implementation could make, one at a time: the explorer must find each. */
enum PlantedFault {
    VOTE_NOT_SAVED(
            new FaultInjection() {
                @Override
                public TermAndVote persistedVote(TermAndVote ballot) {
                    return new TermAndVote(ballot.term(), 0);
                }
            }),
    TERM_NOT_SAVED(
            new FaultInjection() {
                @Override
                public TermAndVote persistedVote(TermAndVote ballot) {
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
    WIPED_UNDER_ITS_NUMBER(
            new FaultInjection() {
                @Override
                public long memberIdAfterWipe(long before, RandomGenerator chance) {
                    return before;
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
                protected boolean mayVoteFor(TermAndVote ballot, long candidate) {
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
                protected boolean logsMatch(long prevTerm, long ownTerm) {
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
    OLD_MESSAGE_CUTS(
            new SafetyRules() {
                @Override
                protected boolean entriesMatch(long entryTerm, long ownTerm) {
                    return false;
                }
            }),
    PROMISE_BEFORE_SAVE(
            new SafetyRules() {
                @Override
                protected boolean persistsBeforeSending() {
                    return false;
                }
            }),
    DISLOYAL_UNDER_LEASE(
            new SafetyRules() {
                @Override
                protected boolean honorsCurrentLeader(long now, long heardAt, Timing timing) {
                    return false;
                }
            }),
    LEASE_WITHOUT_QUORUM(
            new SafetyRules() {
                @Override
                protected long leaseExpiry(long sentAt, Timing timing) {
                    return Long.MAX_VALUE;
                }
            }),
    LEASE_AFTER_HAND_OVER(
            new SafetyRules() {
                @Override
                protected boolean mayHoldLease(boolean handedOver) {
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
    MEMBERS_UNSETTLED(
            new SafetyRules() {
                @Override
                protected boolean mayChangeMembership(
                        long membersIndex, long commit, long commitTerm, long term) {
                    return true;
                }
            }),
    CHANGE_AGAIN(
            new SafetyRules() {
                @Override
                protected boolean isNewSerial(long serial, long last) {
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

    /** The size of cluster in which it shows more often. */
    int members() {
        return this == MEMBERS_UNSETTLED ? 5 : 3;
    }
}
