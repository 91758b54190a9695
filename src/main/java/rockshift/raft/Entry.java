package rockshift.raft;

/**
 * One entry of the replicated log.
 *
 * @param index its position, from 1 on
 * @param term the term of the leader that appended it
 * @param session the client session of a change; for {@link Kind#OPEN_SESSION}, the number that the
 *     client drew for it
 * @param serial the number of a change within its session, from 1 on
 * @param body the change itself, empty for the other kinds
 * @param members the membership that holds from this entry on; null but for {@link Kind#MEMBERSHIP}
 */
public record Entry(
        long index,
        long term,
        Kind kind,
        long session,
        long serial,
        byte[] body,
        Membership members) {
    /** What an entry does. Its ordinal is stored on disk and sent between members. */
    public enum Kind {
        /** Begins a leader's term. */
        NO_OP,
        /** Opens a client session. */
        OPEN_SESSION,
        /** Changes the agreed state. */
        CHANGE,
        /** Changes the membership. */
        MEMBERSHIP
    }

    private static final byte[] EMPTY = {};

    /** Bytes that an entry, or one member in it, takes beside its body; for limits only. */
    private static final int OVERHEAD_BYTES = 48;

    /** The entry with which a leader begins its term. */
    static Entry noOp(long index, long term) {
        return new Entry(index, term, Kind.NO_OP, 0, 0, EMPTY, null);
    }

    /** An entry from which on a membership holds. */
    static Entry membershipChange(long index, long term, Membership members) {
        return new Entry(index, term, Kind.MEMBERSHIP, 0, 0, EMPTY, members);
    }

    /** Bytes that this entry takes in memory or in a message, roughly. */
    public int size() {
        int memberCount = members == null ? 0 : members.all().size();
        return OVERHEAD_BYTES + body.length + OVERHEAD_BYTES * memberCount;
    }
}
