package rockshift.raft;

/** The addition, removal or change of role of one member. Only one member may change at a time. */
record MembershipChange(Membership before, Membership after, Member member, boolean removes) {
    /**
     * Maximum number of entries by which a member may lag behind the commit index when it becomes a
     * voter.
     */
    private static final int MAX_CATCH_UP_LAG_ENTRIES = 512;

    static MembershipChange of(Membership before, Member member, boolean removes) {
        Membership after = removes ? before.without(member.id()) : before.with(member);
        return new MembershipChange(before, after, member, removes);
    }

    /**
     * Returns whether a follower's log is close enough to the commit index for it to become a
     * voter.
     */
    static boolean isCaughtUp(FollowerProgress follower, long commitIndex) {
        return follower != null && follower.matchIndex() + MAX_CATCH_UP_LAG_ENTRIES >= commitIndex;
    }

    /**
     * Returns why this change is not allowed, or null if it is. {@code follower} is the progress of
     * the changed member, null if it is not replicated to yet.
     */
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
