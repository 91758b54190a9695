package rockshift.raft;

/**
 * One place of the log.
 *
 * @param session the client's session of a change; of an opening, the number that the client drew
 *     for it
 * @param serial the number of a change within its session, from 1 on
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
    /**
     * What an entry does: begin a leader's term, open a session, change what is agreed, change who
     * agrees.
     */
    public enum Kind {
        NO_OP,
        OPEN_SESSION,
        CHANGE,
        MEMBERSHIP
    }

    private static final byte[] EMPTY = {};

    /** Bytes that an entry takes beside its body, for limits on flight and memory. */
    private static final int FRAME = 48;

    static Entry noOp(long index, long term) {
        return new Entry(index, term, Kind.NO_OP, 0, 0, EMPTY, null);
    }

    static Entry members(long index, long term, Membership members) {
        return new Entry(index, term, Kind.MEMBERSHIP, 0, 0, EMPTY, members);
    }

    public int size() {
        return FRAME + body.length + (members == null ? 0 : FRAME * members.all().size());
    }
}
