package rockshift.cluster;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import rockshift.config.InvalidFileException;
import rockshift.config.Section;
import rockshift.distribution.wire.DistributionSettings;
import rockshift.raft.Timing;

/**
 * The settings of a cluster member: its name, address and folder, the founders of the cluster, and
 * its timeouts. Read once from the block {@code cluster} of the operator's file; immutable.
 *
 * @param founders the addresses of the members that found the cluster, by name; empty for a member
 *     that is added later
 * @param routes by name, the addresses at which this member reaches others, where they differ from
 *     the agreed addresses
 * @param initialCluster whether this member may found a cluster
 * @param subscribers the maximum number of relays and controllers that subscribe to this member at
 *     a time
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
        InitialCluster initialCluster,
        int subscribers) {
    /**
     * What a founder with an empty folder may assume. The operator's file contains the names of the
     * constants in lower case.
     */
    public enum InitialCluster {
        /** There may be no cluster yet; the founder begins one if it hears of none. */
        NEW,
        /** There is a cluster, and the founder waits until it is added to it. */
        EXISTING
    }

    /**
     * What a controller may still change without a quorum, as chosen by the operator: everything,
     * removals only, or nothing. The operator's file contains the names of the constants in lower
     * case. The member derives the {@link LocalController.PermittedChanges} from it.
     */
    public enum Minority {
        SERVE,
        WITHDRAW,
        HOLD
    }

    private static final int MIN_ELECTION_TIMEOUT_MS = 50;
    private static final int MAX_ELECTION_TIMEOUT_MS = 60_000;
    private static final int MAX_FOUNDERS = 5;

    /** Reads the block {@code cluster}, and rejects unknown fields. */
    public static ClusterSettings read(Section file) throws InvalidFileException {
        Section cluster = file.block("cluster");
        if (cluster == null) {
            throw file.invalid("cluster", "is missing");
        }
        String name = cluster.text("name", null);
        InetSocketAddress listen = cluster.address("listen", null);
        String address = cluster.text("address", cluster.text("listen", null));
        Path folder = Path.of(cluster.text("folder", null));
        Timing timing = readTiming(cluster);
        Engine.Compaction compaction = readCompaction(cluster);
        Minority minority = readMinority(cluster);
        InitialCluster initialCluster = readInitialCluster(cluster);
        Map<String, String> founders = readFounders(cluster, name);
        Map<String, String> routes = readAddresses(cluster, "route");
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
                timing,
                compaction,
                minority,
                initialCluster,
                subscribers);
    }

    private static Timing readTiming(Section cluster) throws InvalidFileException {
        long electionTicks =
                cluster.durationTicks(
                        "election", "1s", MIN_ELECTION_TIMEOUT_MS, MAX_ELECTION_TIMEOUT_MS);
        // The default is a fifth of the election timeout: 50 ticks of 100 us are 5 ms.
        long heartbeatTicks =
                cluster.durationTicks("heartbeat", electionTicks / 50 + "ms", 5, 30_000);
        if (heartbeatTicks * 3 > electionTicks) {
            throw cluster.invalid("heartbeat", "must be at most a third of election");
        }
        double drift = cluster.number("drift", 0.05, 0, 0.5);
        boolean leases = cluster.flag("leases", true);
        int batch = cluster.integer("batch", 512, 1, 4_096);
        return new Timing(electionTicks, heartbeatTicks, drift, leases, batch);
    }

    private static Engine.Compaction readCompaction(Section cluster) throws InvalidFileException {
        return new Engine.Compaction(
                cluster.integer("snapshot_after", 10_000, 100, 1_000_000),
                cluster.bytes("snapshot_bytes", "4MB", 64 << 10, 64 << 20));
    }

    private static Minority readMinority(Section cluster) throws InvalidFileException {
        String word = cluster.choice("minority", "withdraw", "serve", "withdraw", "hold");
        return Minority.valueOf(word.toUpperCase(Locale.ROOT));
    }

    private static InitialCluster readInitialCluster(Section cluster) throws InvalidFileException {
        String word = cluster.choice("initial_cluster", "new", "new", "existing");
        return InitialCluster.valueOf(word.toUpperCase(Locale.ROOT));
    }

    private static Map<String, String> readFounders(Section cluster, String name)
            throws InvalidFileException {
        Map<String, String> founders = readAddresses(cluster, "founder");
        int count = founders.size();
        if (count > 0 && !founders.containsKey(name)) {
            throw cluster.invalid("founder", "must include this member (" + name + ")");
        } else if (count > MAX_FOUNDERS || count == 2 || count == 4) {
            throw cluster.invalid("founder", "must name one, three or five members, not " + count);
        }
        return founders;
    }

    private static Map<String, String> readAddresses(Section cluster, String kind)
            throws InvalidFileException {
        Map<String, String> addresses = new LinkedHashMap<>();
        for (Map.Entry<String, Section> block : cluster.blocks(kind).entrySet()) {
            block.getValue().address("address", null);
            addresses.put(block.getKey(), block.getValue().text("address", null));
        }
        return addresses;
    }
}
