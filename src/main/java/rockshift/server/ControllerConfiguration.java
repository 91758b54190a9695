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
 * The contents of a controller's configuration file, read by {@link ControllerConfigurationReader}.
 * Immutable.
 *
 * @param listen address at which proxies and collectors connect
 * @param seed seed of the random numbers
 * @param descriptors number of file descriptors that the process may hold
 * @param known the last list of replicas that this controller had; it may be outdated
 */
record ControllerConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int descriptors,
        EndpointList known,
        PlannerSettings settings) {
    /**
     * Minimum entries of a drain notice in addition to its message's overhead: the notice and the
     * serial number.
     */
    private static final int MIN_DRAIN_ENTRIES = 2;

    /**
     * Returns a warning for each limit of the channel that is too low to send one drain to all
     * proxies if all of them were connected to this controller.
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

    /**
     * Returns the names of the fields that differ in another configuration and need a restart to
     * change.
     */
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
