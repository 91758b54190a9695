package rockshift.distribution.wire;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import rockshift.config.InvalidFileException;
import rockshift.config.Section;
import rockshift.distribution.Limits;
import rockshift.distribution.Scope;

/**
 * The block {@code distribution} of the operator's file, for a controller or relay. Immutable.
 *
 * @param name by which publishers know it; each controller and relay has its own
 * @param upstreams by label, relays, or members: tried in this order, from one that is chosen by
 *     chance
 * @param scope what it asks for
 * @param relay what a relay serves; null for a controller
 * @param limits bounds and intervals
 */
public record DistributionSettings(
        String name,
        Map<String, InetSocketAddress> upstreams,
        Scope scope,
        RelaySettings relay,
        Limits limits) {
    /** Subscribers that a publisher serves where nothing is configured. */
    public static final int DEFAULT_SUBSCRIBERS = 1_024;

    /** Subscribers that a publisher may be configured to serve. */
    public static final int MAX_SUBSCRIBERS = 65_536;

    private static final int MAX_NAME_LENGTH = Limits.standard().sizes().maxNameLength();

    /**
     * What a relay serves.
     *
     * @param listen where subscribers connect
     * @param subscribers connections that are served at most
     */
    public record RelaySettings(InetSocketAddress listen, int subscribers) {}

    /** Reads the block; null where the file has none. */
    public static DistributionSettings read(Section file) throws InvalidFileException {
        Section block = file.block("distribution");
        if (block == null) {
            return null;
        }
        String name = block.text("name", null);
        if (name.length() > MAX_NAME_LENGTH) {
            throw block.invalid("name", "must be at most " + MAX_NAME_LENGTH + " characters");
        }
        Map<String, InetSocketAddress> upstreams = new LinkedHashMap<>();
        for (Map.Entry<String, Section> each : block.blocks("upstream").entrySet()) {
            upstreams.put(each.getKey(), each.getValue().address("address", null));
        }
        if (upstreams.isEmpty()) {
            throw block.invalid("upstream", "is missing");
        }
        RelaySettings relay = relay(block.block("relay"));
        Scope scope = scope(block, relay != null);
        int subscribers = relay == null ? DEFAULT_SUBSCRIBERS : relay.subscribers();
        return new DistributionSettings(name, upstreams, scope, relay, limits(subscribers));
    }

    private static RelaySettings relay(Section block) throws InvalidFileException {
        return block == null
                ? null
                : new RelaySettings(
                        block.address("listen", null),
                        block.integer("subscribers", DEFAULT_SUBSCRIBERS, 1, MAX_SUBSCRIBERS));
    }

    private static Scope scope(Section distribution, boolean relays) throws InvalidFileException {
        Section block = distribution.block("scope");
        if (block == null && relays) {
            return Scope.all();
        } else if (block == null) {
            throw distribution.invalid("scope", "is missing");
        }
        if (block.flag("everything", false)) {
            return Scope.all();
        }
        Scope scope = Scope.of(names(block, "services"), names(block, "zones"));
        if (scope.isEmpty()) {
            throw block.invalid("", "names no services and no zones");
        }
        return scope;
    }

    private static Set<String> names(Section scope, String field) throws InvalidFileException {
        Set<String> names = scope.texts(field, MAX_NAME_LENGTH);
        if (names.size() > Limits.standard().sizes().maxScopeNames()) {
            throw scope.invalid(
                    field, "names more than " + Limits.standard().sizes().maxScopeNames());
        }
        return names;
    }

    /** The standard limits of a publisher, for so many connections. */
    public static Limits limits(int subscribers) {
        Limits standard = Limits.standard();
        Limits.Admission admission = standard.admission();
        return new Limits(
                standard.timing(),
                standard.sizes(),
                new Limits.Admission(
                        subscribers,
                        admission.subscriptionsPerSecond(),
                        admission.maxConcurrentSnapshots(),
                        admission.maxUnacknowledgedDifferences(),
                        admission.maxUnacknowledgedParts(),
                        admission.maxRetryMillis()));
    }
}
