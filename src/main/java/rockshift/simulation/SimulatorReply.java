package rockshift.simulation;

import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import rockshift.model.ClassSet;

/**
 * The reply to one batch, a line for each action. The simulator's words for actions are known to
 * this class alone. Used by the adapter's one thread.
 */
final class SimulatorReply {
    /** Tables that the wire has numbers for; the number after them stands for all proxies. */
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
     * A set of classes as the wire has it: the sum of two to the power of each number, or 0 for
     * all. The sum is written whole, as the wire sets no bound on the number of classes.
     */
    static BigInteger classMask(ClassSet classes) {
        if (classes.isEmpty()) {
            throw new IllegalStateException("no classes: the wire would take them for all");
        }
        return classes.isAll()
                ? BigInteger.ZERO
                : classes.numbers()
                        .mapToObj(BigInteger.ONE::shiftLeft)
                        .reduce(BigInteger.ZERO, BigInteger::or);
    }

    /** The number of a table, where the wire has room for it. */
    static int tableNumber(int table) {
        if (table >= TABLE_COUNT) {
            throw new IllegalStateException(
                    "table " + table + ": the wire has " + TABLE_COUNT + " tables");
        }
        return table;
    }
}
