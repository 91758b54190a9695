package rockshift.server;

import java.util.Set;
import rockshift.model.Ticks;
import rockshift.settings.ClassNames;
import rockshift.settings.PlannerSettings;

/**
 * The checks that the message types share: that a field names a zone, proxy or class of this
 * deployment, and that a figure is one that a peer can have measured. Immutable, so that any thread
 * may use it.
 */
final class MessageValidator {
    /**
     * The longest window or mean time of a report; what waits behind a broken stream is shorter.
     */
    private static final int MAX_REPORTED_MILLIS = 600_000;

    /** The highest rate of a report: more than all proxies of a zone could bring. */
    private static final int MAX_ARRIVALS_PER_MILLI = 1_000;

    /**
     * The highest utilization of a replica: noise in its measurement brings it a little above 1.
     */
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

    /** How many peers the deployment has: each proxy and one collector a zone. */
    int peerCount() {
        return proxyCount + zones.size();
    }

    /** Refuses a message that this sender may not send, or not now. */
    void requireExpected(boolean expected, String detail) throws InvalidMessageException {
        if (!expected) {
            throw new InvalidMessageException(CloseReason.UNEXPECTED, detail);
        }
    }

    /** Refuses a message one field of which has a value that cannot be. */
    void requireField(RespCodec message, boolean valid, String field)
            throws InvalidMessageException {
        if (!valid) {
            throw new InvalidMessageException(
                    CloseReason.BAD_FIELD, field + " '" + message.text(field) + "'");
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

    /** The count of a report: no more than its window can hold. */
    int count(RespCodec message) throws InvalidMessageException {
        int count = message.wholeNumber(RespCodec.COUNT);
        double windowMillis = message.number(RespCodec.WINDOW);
        requireField(message, count <= MAX_ARRIVALS_PER_MILLI * windowMillis, RespCodec.COUNT);
        return count;
    }

    /** A duration in ticks of 100 us; the wire has it in milliseconds. */
    long durationTicks(RespCodec message, String field) throws InvalidMessageException {
        double millis = message.number(field);
        requireField(message, millis <= MAX_REPORTED_MILLIS, field);
        return (long) (millis * Ticks.TICKS_PER_MILLI);
    }

    /**
     * A replica's utilization, or null where the message has no load report. A load report without
     * it is refused in deployments whose load reports have it.
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
