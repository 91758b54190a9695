package rockshift.raft;

/** One member that is added, changes its role or is removed; only one may change at a time. */
record MembershipChange(Membership before, Membership after, Member member, boolean removes) {
    /** Entries by which a joining member may be behind when it gets its vote. */
    private static final int CATCH_UP_ENTRIES = 512;

    static MembershipChange of(Membership before, Member member, boolean removes) {
        Membership after = removes ? before.without(member.id()) : before.with(member);
        return new MembershipChange(before, after, member, removes);
    }

    /** Whether a follower's log is close enough to the leader's for it to vote. */
    static boolean isCaughtUp(FollowerProgress follower, long commitIndex) {
        return follower != null && follower.matchIndex() + CATCH_UP_ENTRIES >= commitIndex;
    }

    /** Why this change is not allowed, null if it is; {@code follower} may be null. */
    ProposalRejection rejection(FollowerProgress follower, long commitIndex) {
        if (removes && before.get(member.id()) == null) {
            return ProposalRejection.UNKNOWN_MEMBER;
        }
        if (after.voterCount() == 0) {
            return ProposalRejection.LAST_VOTER;
        }
        if (after.all().size() > Membership.MAX_MEMBERS) {
            return ProposalRejection.TOO_MANY_MEMBERS;
        }
        boolean becomesVoter =
                !removes && member.role() == Member.Role.VOTER && !before.isVoter(member.id());
        if (becomesVoter && !isCaughtUp(follower, commitIndex)) {
            return ProposalRejection.NOT_CAUGHT_UP;
        }
        return null;
    }
}
