package rockshift.server;

/**
 * The memory that the partial messages of all connections may take together. Without it, some
 * connections that each hold an unfinished message of a mebibyte would exhaust the heap. Used by
 * the reactor's thread alone.
 */
final class PartialMessageBudget {
    /** A third of the heap. */
    private static final int MAX_PARTIAL_BYTES = 20 << 20;

    private long reservedBytes;

    void reserve(int bytes) {
        reservedBytes += bytes;
    }

    void release(int bytes) {
        reservedBytes -= bytes;
    }

    boolean isExceeded() {
        return reservedBytes > MAX_PARTIAL_BYTES;
    }
}
