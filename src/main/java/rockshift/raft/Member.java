package rockshift.raft;

/**
 * One member of the cluster.
 *
 * @param id generated when the member's disk is first used and never reused, so that a member whose
 *     disk was wiped counts as a new member
 * @param name the name that operators use
 * @param address the address at which other members reach it
 */
public record Member(long id, String name, String address, Role role) {
    /**
     * The role of a member in the cluster. The ordinal is stored on disk and sent between members.
     */
    public enum Role {
        /** Votes and counts towards a quorum. */
        VOTER,
        /** Replicates the log without a vote. */
        LEARNER,
        /** Replicates the log without a vote until it has caught up, and then becomes a voter. */
        JOINING
    }

    Member withRole(Role newRole) {
        return new Member(id, name, address, newRole);
    }
}
