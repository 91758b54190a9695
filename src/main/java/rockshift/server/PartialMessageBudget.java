package rockshift.server;

/**
 * Limit on the memory of the partial messages of all connections together. Without it, a number of
 * connections that each hold an unfinished message of one mebibyte would exhaust the heap. Used
 * only by the reactor's thread.
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
