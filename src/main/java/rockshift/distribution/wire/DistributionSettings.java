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
 * The {@code distribution} block of the operator's file, for a controller or relay. Immutable.
 *
 * @param name the name by which publishers know the controller or relay; must be unique
 * @param upstreams relays or members by label, tried in this order from a random one
 * @param scope the scope to subscribe to
 * @param relay the downstream side of a relay; null for a controller
 * @param limits limits and intervals
 */
public record DistributionSettings(
        String name,
        Map<String, InetSocketAddress> upstreams,
        Scope scope,
        RelaySettings relay,
        Limits limits) {
    /** Default maximum number of subscribers of a publisher. */
    public static final int DEFAULT_SUBSCRIBERS = 1_024;

    /** Upper bound of the configurable maximum number of subscribers. */
    public static final int MAX_SUBSCRIBERS = 65_536;

    private static final int MAX_NAME_LENGTH = Limits.standard().sizes().maxNameLength();

    /**
     * The downstream side of a relay.
     *
     * @param listen the address that subscribers connect to
     * @param subscribers the maximum number of connections served
     */
    public record RelaySettings(InetSocketAddress listen, int subscribers) {}

    /** Reads the block; returns null if the file has none. */
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

    private static Scope scope(Section distribution, boolean isRelay) throws InvalidFileException {
        Section block = distribution.block("scope");
        if (block == null && isRelay) {
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
                    field,
                    "must list at most "
                            + Limits.standard().sizes().maxScopeNames()
                            + " names, not "
                            + names.size());
        }
        return names;
    }

    /** Returns the standard limits of a publisher with this maximum number of connections. */
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
