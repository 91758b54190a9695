package rockshift.raft;

/**
 * One instance that takes part.
 *
 * @param id drawn when the instance's disk is first used and never used again, so that one wiped of
 *     its disk is another
 * @param name what staff call it
 * @param address where the others reach it
 */
public record Member(long id, String name, String address, Role role) {
    /**
     * What it does: votes, follows without a vote, or follows until it has caught up and then
     * votes.
     */
    public enum Role {
        VOTER,
        LEARNER,
        JOINING
    }

    Member as(Role other) {
        return new Member(id, name, address, other);
    }
}
