package rockshift.raft;

/**
 * One member of the cluster.
 *
 * @param id drawn when the member's disk is first used and never used again, so that one whose disk
 *     was wiped is another member
 * @param name what operators call it
 * @param address where the other members reach it
 */
public record Member(long id, String name, String address, Role role) {
    /** What a member does. The ordinal is stored on disk and sent between members. */
    public enum Role {
        /** Votes, and counts towards a quorum. */
        VOTER,
        /** Follows without a vote. */
        LEARNER,
        /** Follows without a vote until it has caught up, and is then made a voter. */
        JOINING
    }

    Member as(Role newRole) {
        return new Member(id, name, address, newRole);
    }
}
