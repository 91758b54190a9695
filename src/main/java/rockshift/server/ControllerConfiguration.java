package rockshift.server;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import rockshift.model.Ticks;
import rockshift.settings.PlannerSettings;
import rockshift.settings.SettingsParser;

/**
 * What a controller is told in its file, read by {@link ControllerConfigurationReader}. Immutable.
 *
 * @param listen where proxies and collectors connect
 * @param seed for random numbers
 * @param descriptors how many file descriptors the process may hold
 * @param known the list of replicas as this controller last had it; it may be old
 */
record ControllerConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int descriptors,
        EndpointList known,
        PlannerSettings settings) {
    /** What one drain notice takes at least beside its message's overhead: itself and its mark. */
    private static final int MIN_DRAIN_ENTRIES = 2;

    /**
     * Warnings where the channel could not carry one drain to all proxies, if all came to this
     * controller.
     */
    List<String> channelWarnings() {
        double proxies = settings.expectedProxies();
        double entries = proxies * (settings.messageOverheadEntries() + MIN_DRAIN_ENTRIES);
        double queueLimit = settings.channelQueueLimitEntries();
        double graceTicks = Math.min(settings.drainGraceTicks(), Double.MAX_VALUE);
        double graceSeconds = graceTicks / Ticks.TICKS_PER_SECOND;
        double entriesPerSecond = settings.channelEntriesPerSecond();
        double seconds = entries / entriesPerSecond;
        List<String> warnings = new ArrayList<>();
        if (entries > queueLimit) {
            warnings.add(
                    String.format(
                            Locale.ROOT,
                            "%s too low for one drain of all proxies: limit=%.0f proxies=%.0f"
                                    + " entries=%.0f",
                            SettingsParser.CHANNEL_QUEUE_LIMIT,
                            queueLimit,
                            proxies,
                            entries));
        }
        if (seconds > graceSeconds) {
            warnings.add(
                    String.format(
                            Locale.ROOT,
                            "%s too low for one drain of all proxies: rate=%.0f proxies=%.0f"
                                    + " seconds=%.1f graceSeconds=%.1f",
                            SettingsParser.CHANNEL_RATE,
                            entriesPerSecond == Double.MAX_VALUE ? 0 : entriesPerSecond,
                            proxies,
                            seconds,
                            graceSeconds));
        }
        return warnings;
    }

    /** The fields in which another configuration differs and that take a restart to change. */
    String restartFields(ControllerConfiguration other) {
        return Stream.of(
                        name.equals(other.name) ? "" : "name",
                        listen.equals(other.listen) ? "" : "listen",
                        descriptors == other.descriptors ? "" : "limits",
                        settings.equals(other.settings) ? "" : "settings")
                .filter(field -> !field.isEmpty())
                .collect(Collectors.joining(", "));
    }
}
