package rockshift.simulation;

import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import rockshift.model.ClassSet;

/**
 * The reply to one batch, with one line for each action. Only this class knows the protocol's names
 * of actions. Used only by the adapter's thread.
 */
final class SimulatorReply {
    /**
     * Number of tables that the protocol can address; the number after them stands for all proxies.
     */
    private static final int TABLE_COUNT = 65_535;

    private final StringBuilder text = new StringBuilder();

    void subscribeToDiscovery(int controllerId) {
        line("TRACK", controllerId, 1);
    }

    void setTableEntry(int controllerId, int table, long replicaId, double weight) {
        line("WEIGH", controllerId, tableNumber(table), replicaId, weight);
    }

    void setDraining(int controllerId, long replicaId, boolean draining) {
        line("MASK", controllerId, replicaId, draining ? 1 : 0);
    }

    void bindProxy(int controllerId, int table, int proxyId, ClassSet classes) {
        line("ATTACH_TABLE", controllerId, classMask(classes), tableNumber(table), proxyId);
    }

    void setAdmissionLevel(
            int controllerId, int table, ClassSet classes, double level, int retryMode) {
        line("ALLOW", controllerId, tableNumber(table), classMask(classes), level, retryMode);
    }

    /** Asks the proxies that this reply reaches, and no others, to acknowledge it. */
    void requestAcknowledgement(int controllerId, int serial) {
        line("STAMP", controllerId, 0, serial);
    }

    void wakeAfter(int controllerId, long delayTicks) {
        line("NOTIFY_ME", controllerId, SimulatorUnits.ticksToMicros(delayTicks), "round");
    }

    void log(int controllerId, String message) {
        line("RECORD", controllerId, message);
    }

    void internalError(int controllerId, RuntimeException failure) {
        line("INTERNAL_ERROR", controllerId, String.valueOf(failure).replace('\n', ' '));
    }

    void acknowledgeBatch(long batchNumber) {
        line("ACK", batchNumber);
    }

    byte[] toBytes() {
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private void line(String action, Object... fields) {
        text.append(action);
        for (Object field : fields) {
            text.append(' ').append(field);
        }
        text.append('\n');
    }

    /**
     * Returns the bit mask of a set of classes: bit n for class number n, or 0 for all classes. The
     * mask has no fixed width, because the protocol does not limit the number of classes.
     */
    static BigInteger classMask(ClassSet classes) {
        if (classes.isEmpty()) {
            throw new IllegalStateException("empty class set: its mask 0 would mean all classes");
        }
        return classes.isAll()
                ? BigInteger.ZERO
                : classes.numbers()
                        .mapToObj(BigInteger.ONE::shiftLeft)
                        .reduce(BigInteger.ZERO, BigInteger::or);
    }

    /** Returns the number of a table after checking that the protocol can address it. */
    static int tableNumber(int table) {
        if (table >= TABLE_COUNT) {
            throw new IllegalStateException(
                    "table number out of range: must be below " + TABLE_COUNT + ", got " + table);
        }
        return table;
    }
}
