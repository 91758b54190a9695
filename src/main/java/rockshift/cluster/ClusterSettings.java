package rockshift.cluster;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import rockshift.config.InvalidFileException;
import rockshift.config.Section;
import rockshift.distribution.wire.DistributionSettings;
import rockshift.raft.Timing;

/**
 * What a member is told in the block {@code cluster} of the operator's file: who it is, where it
 * listens and keeps its folder, who founded the cluster, and how long it waits. It is what one
 * reading found and never changes.
 *
 * @param founders by name: where those are that begin the cluster; empty for one that is added
 *     later
 * @param routes by name: where this member reaches another, if not at the address that all were
 *     told
 * @param subscribers relays and governors that may subscribe here at a time
 */
public record ClusterSettings(
        String name,
        InetSocketAddress listen,
        String address,
        Path folder,
        Map<String, String> founders,
        Map<String, String> routes,
        Timing timing,
        Engine.Compaction compaction,
        Minority minority,
        int subscribers) {
    /**
     * What a governor still orders when it is cut off from most: all, what rules owe, or nothing.
     */
    public enum Minority {
        SERVE,
        WITHDRAW,
        HOLD
    }

    private static final int LEAST_ELECTION = 50;
    private static final int MOST_FOUNDERS = 5;

    /** A member that serves as many subscribers as is usual. */
    public ClusterSettings(
            String name,
            InetSocketAddress listen,
            String address,
            Path folder,
            Map<String, String> founders,
            Map<String, String> routes,
            Timing timing,
            Engine.Compaction compaction,
            Minority minority) {
        this(
                name,
                listen,
                address,
                folder,
                founders,
                routes,
                timing,
                compaction,
                minority,
                DistributionSettings.DEFAULT_SUBSCRIBERS);
    }

    /** Reads the block, and refuses what it does not know. */
    public static ClusterSettings read(Section file) throws InvalidFileException {
        Section cluster = file.block("cluster");
        if (cluster == null) {
            throw file.invalid("cluster", "is missing");
        }
        String name = cluster.text("name", null);
        InetSocketAddress listen = cluster.address("listen", null);
        String address = cluster.text("address", cluster.text("listen", null));
        Path folder = Path.of(cluster.text("folder", null));
        long election = cluster.durationTicks("election", "1s", LEAST_ELECTION, 60_000);
        long heartbeat = cluster.durationTicks("heartbeat", election / 50 + "ms", 5, 30_000);
        if (heartbeat * 3 > election) {
            throw cluster.invalid("heartbeat", "must be a third of election at most");
        }
        double drift = cluster.number("drift", 0.05, 0, 0.5);
        boolean leases = cluster.flag("leases", true);
        int batch = cluster.integer("batch", 512, 1, 4_096);
        Engine.Compaction compaction =
                new Engine.Compaction(
                        cluster.integer("snapshot_after", 10_000, 100, 1_000_000),
                        cluster.bytes("snapshot_bytes", "4MB", 64 << 10, 64 << 20));
        Minority minority =
                Minority.valueOf(
                        cluster.choice("minority", "withdraw", "serve", "withdraw", "hold")
                                .toUpperCase(java.util.Locale.ROOT));
        Map<String, String> founders = addresses(cluster, "founder");
        if (!founders.isEmpty() && !founders.containsKey(name)) {
            throw cluster.invalid("founder", "does not name " + name + " itself");
        } else if (founders.size() > MOST_FOUNDERS
                || founders.size() == 2
                || founders.size() == 4) {
            throw cluster.invalid(
                    "founder", "must name one, three or five, not " + founders.size());
        }
        Map<String, String> routes = addresses(cluster, "route");
        int subscribers =
                cluster.integer(
                        "subscribers",
                        DistributionSettings.DEFAULT_SUBSCRIBERS,
                        1,
                        DistributionSettings.MAX_SUBSCRIBERS);
        cluster.rejectUnknownFields();
        return new ClusterSettings(
                name,
                listen,
                address,
                folder,
                founders,
                routes,
                new Timing(election, heartbeat, drift, leases, batch),
                compaction,
                minority,
                subscribers);
    }

    private static Map<String, String> addresses(Section cluster, String kind)
            throws InvalidFileException {
        Map<String, String> found = new LinkedHashMap<>();
        for (Map.Entry<String, Section> each : cluster.blocks(kind).entrySet()) {
            each.getValue().address("address", null);
            found.put(each.getKey(), each.getValue().text("address", null));
        }
        return found;
    }
}
