package rockshift.storage;

/** The kind of a record. The code is stored on disk, as one byte. */
enum RecordKind {
    /** Begins a write; contains how many bytes of this file were durable before it. */
    BATCH(1),
    /** The term and vote that apply from this record on. */
    TERM_AND_VOTE(2),
    /** One log entry, which replaces any earlier entries from its index on. */
    ENTRY(3),
    /** A snapshot from the leader replaced all entries before this record. */
    SNAPSHOT_INSTALLED(4),
    /**
     * The member and the cluster that the folder belongs to; the only record of the file {@code
     * identity}.
     */
    IDENTITY(5),
    /** A snapshot; the only record of its file. */
    SNAPSHOT(6),
    /** A cluster that is known to exist; the only record of the file {@code known-cluster}. */
    KNOWN_CLUSTER(7);

    private static final RecordKind[] KINDS = values();

    private final byte code;

    RecordKind(int code) {
        this.code = (byte) code;
    }

    byte code() {
        return code;
    }

    /** Returns the kind with the given code, or null if there is none. */
    static RecordKind of(byte code) {
        for (RecordKind kind : KINDS) {
            if (kind.code == code) {
                return kind;
            }
        }
        return null;
    }
}
