package rockshift.server;

import java.util.Set;
import rockshift.model.Ticks;
import rockshift.settings.ClassNames;
import rockshift.settings.PlannerSettings;

/**
 * Checks shared by the message types: that a field names a zone, proxy or class of this deployment,
 * and that a number is one that a peer can have measured. Immutable and thread-safe.
 */
final class MessageValidator {
    /**
     * Maximum window or mean time of a report. Reports that were held back by a broken stream stay
     * below it.
     */
    private static final int MAX_REPORTED_MILLIS = 600_000;

    /** Maximum rate in a report: more than all proxies of a zone could cause. */
    private static final int MAX_ARRIVALS_PER_MILLI = 1_000;

    /** Maximum utilization of a replica. Measurement noise can bring it slightly above 1. */
    private static final int MAX_UTILIZATION = 2;

    private final Set<String> zones;
    private final ClassNames classes;
    private final int proxyCount;
    private final boolean requiresUtilization;

    MessageValidator(PlannerSettings settings) {
        zones = Set.copyOf(settings.zones());
        classes = settings.classNames();
        proxyCount = settings.expectedProxies();
        requiresUtilization = settings.loadMetricNames().contains(RespCodec.UTILIZATION);
    }

    /** Returns the number of peers in the deployment: all proxies, and one collector per zone. */
    int peerCount() {
        return proxyCount + zones.size();
    }

    /** Rejects a message that this sender may not send, or not in its current state. */
    void requireExpected(boolean expected, String detail) throws InvalidMessageException {
        if (!expected) {
            throw new InvalidMessageException(CloseReason.UNEXPECTED, detail);
        }
    }

    /** Rejects a message if the value of a field is not valid. */
    void requireField(RespCodec message, boolean valid, String field)
            throws InvalidMessageException {
        if (!valid) {
            throw new InvalidMessageException(
                    CloseReason.BAD_FIELD, "invalid " + field + " '" + message.text(field) + "'");
        }
    }

    String zone(RespCodec message) throws InvalidMessageException {
        String zone = message.text(RespCodec.ZONE);
        requireField(message, zones.contains(zone), RespCodec.ZONE);
        return zone;
    }

    int proxyNumber(RespCodec message) throws InvalidMessageException {
        int number = message.wholeNumber(RespCodec.PROXY);
        requireField(message, number < proxyCount, RespCodec.PROXY);
        return number;
    }

    String className(RespCodec message) throws InvalidMessageException {
        String name = message.text(RespCodec.CLASS);
        requireField(message, classes.contains(name), RespCodec.CLASS);
        return name;
    }

    /** Returns the count of a report, which is limited by the length of its window. */
    int count(RespCodec message) throws InvalidMessageException {
        int count = message.wholeNumber(RespCodec.COUNT);
        double windowMillis = message.number(RespCodec.WINDOW);
        requireField(message, count <= MAX_ARRIVALS_PER_MILLI * windowMillis, RespCodec.COUNT);
        return count;
    }

    /** Returns a duration in ticks of 100 us, from a field in milliseconds. */
    long durationTicks(RespCodec message, String field) throws InvalidMessageException {
        double millis = message.number(field);
        requireField(message, millis <= MAX_REPORTED_MILLIS, field);
        return (long) (millis * Ticks.TICKS_PER_MILLI);
    }

    /**
     * Returns a replica's utilization, or null if the message has none. In a deployment whose load
     * reports include the utilization, a load report without it is rejected.
     */
    Double utilization(RespCodec message) throws InvalidMessageException {
        Double utilization = message.pairedNumber(RespCodec.LOAD, RespCodec.UTILIZATION);
        boolean valid =
                utilization == null
                        ? !requiresUtilization || !message.has(RespCodec.LOAD)
                        : utilization <= MAX_UTILIZATION;
        requireField(message, valid, RespCodec.LOAD);
        return utilization;
    }
}
