package rockshift.testkit;

import java.util.List;
import java.util.random.RandomGenerator;
import rockshift.raft.Membership;
import rockshift.raft.SafetyRules;
import rockshift.raft.Sessions;
import rockshift.raft.TermAndVote;
import rockshift.raft.Timing;

/** Mistakes that an implementation could make, one at a time: the explorer must find each. */
enum Faults {
    VOTE_NOT_SAVED(
            new FaultInjection() {
                @Override
                public TermAndVote saved(TermAndVote ballot) {
                    return new TermAndVote(ballot.term(), 0);
                }
            }),
    TERM_NOT_SAVED(
            new FaultInjection() {
                @Override
                public TermAndVote saved(TermAndVote ballot) {
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
                public List<Sessions.Session> recovered(List<Sessions.Session> sessions) {
                    return sessions.stream()
                            .map(session -> new Sessions.Session(session.id(), 0, session.answer()))
                            .toList();
                }
            }),
    WIPED_UNDER_ITS_NUMBER(
            new FaultInjection() {
                @Override
                public long numberAfterWipe(long before, RandomGenerator chance) {
                    return before;
                }
            }),
    CLOCKS_BEYOND_DRIFT(
            new FaultInjection() {
                @Override
                public double clocksApart() {
                    return 0.6;
                }
            }),
    TWO_VOTES_A_TERM(
            new SafetyRules() {
                @Override
                protected boolean free(TermAndVote ballot, long candidate) {
                    return true;
                }
            }),
    VOTE_FOR_SHORTER_LOG(
            new SafetyRules() {
                @Override
                protected boolean upToDate(
                        long lastIndex, long lastTerm, long ownIndex, long ownTerm) {
                    return true;
                }
            }),
    HALF_IS_A_QUORUM(
            new SafetyRules() {
                @Override
                protected long needed(Membership members) {
                    return Math.max(1, members.voters() / 2);
                }
            }),
    OLD_TERM_COMMIT(
            new SafetyRules() {
                @Override
                protected boolean countable(long entryTerm, long term) {
                    return true;
                }
            }),
    NO_MATCH_BEFORE_APPEND(
            new SafetyRules() {
                @Override
                protected boolean same(long prevTerm, long ownTerm) {
                    return true;
                }
            }),
    CONFLICT_KEPT(
            new SafetyRules() {
                @Override
                protected boolean stands(long entryTerm, long ownTerm) {
                    return true;
                }
            }),
    OLD_MESSAGE_CUTS(
            new SafetyRules() {
                @Override
                protected boolean stands(long entryTerm, long ownTerm) {
                    return false;
                }
            }),
    PROMISE_BEFORE_SAVE(
            new SafetyRules() {
                @Override
                protected boolean waits() {
                    return false;
                }
            }),
    DISLOYAL_UNDER_LEASE(
            new SafetyRules() {
                @Override
                protected boolean loyal(long now, long heardAt, Timing timing) {
                    return false;
                }
            }),
    LEASE_WITHOUT_QUORUM(
            new SafetyRules() {
                @Override
                protected long lease(long sentAt, Timing timing) {
                    return Long.MAX_VALUE;
                }
            }),
    LEASE_AFTER_HAND_OVER(
            new SafetyRules() {
                @Override
                protected boolean leased(boolean handedOver) {
                    return true;
                }
            }),
    READ_UNCONFIRMED(
            new SafetyRules() {
                @Override
                protected boolean confirmed(long roundOfQuorum, long roundOfRead) {
                    return true;
                }
            }),
    READ_BEFORE_OWN_TERM(
            new SafetyRules() {
                @Override
                protected boolean knows(long commitTerm, long term) {
                    return true;
                }
            }),
    MEMBERS_UNSETTLED(
            new SafetyRules() {
                @Override
                protected boolean settled(
                        long membersIndex, long commit, long commitTerm, long term) {
                    return true;
                }
            }),
    CHANGE_AGAIN(
            new SafetyRules() {
                @Override
                protected boolean isNew(long serial, long last) {
                    return true;
                }
            });

    private final FaultInjection injection;

    Faults(FaultInjection injection) {
        this.injection = injection;
    }

    Faults(SafetyRules rules) {
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
