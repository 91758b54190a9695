package rockshift.storage;

/** What a record holds; the code is its byte on disk. */
enum RecordKind {
    /** Begins a write: how many bytes of this file were durable before it. */
    BATCH(1),
    /** The term and vote from here on. */
    TERM_AND_VOTE(2),
    /** One entry of the log; it replaces what stood at its index and after it. */
    ENTRY(3),
    /** A snapshot from the leader replaced all entries before this record. */
    SNAPSHOT_INSTALLED(4),
    /** Whose folder this is; the only record of the file {@code identity}. */
    IDENTITY(5),
    /** A snapshot; the only record of its file. */
    SNAPSHOT(6);

    private static final RecordKind[] KINDS = values();

    private final byte code;

    RecordKind(int code) {
        this.code = (byte) code;
    }

    byte code() {
        return code;
    }

    /** The kind of a code, null if there is none. */
    static RecordKind of(byte code) {
        for (RecordKind kind : KINDS) {
            if (kind.code == code) {
                return kind;
            }
        }
        return null;
    }
}
