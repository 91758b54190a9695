package rockshift.cli;

import rockshift.cluster.ClusterSettings;
import rockshift.config.InvalidFileException;
import rockshift.config.OperatorFile;
import rockshift.config.Section;
import rockshift.distribution.wire.DistributionSettings;

/**
 * The settings of an operator's file.
 *
 * @param cluster the settings of the cluster member in a controller; null if there is none
 * @param distribution the settings of the subscription of a controller or relay; null if there is
 *     none
 */
record OperatorSettings(ClusterSettings cluster, DistributionSettings distribution) {
    /** Reads a file, and rejects settings that conflict. */
    static OperatorSettings read(String name) throws InvalidFileException {
        return read(OperatorFile.read(name));
    }

    private static OperatorSettings read(Section file) throws InvalidFileException {
        DistributionSettings distribution = DistributionSettings.read(file);
        ClusterSettings cluster =
                file.has("cluster") || distribution == null ? ClusterSettings.read(file) : null;
        file.rejectUnknownFields();
        if (cluster != null && distribution != null && distribution.relay() == null) {
            throw file.invalid(
                    "distribution",
                    "cannot be combined with cluster: a member holds the agreed state itself");
        }
        return new OperatorSettings(cluster, distribution);
    }

    /** Returns the source of agreed changes for a controller with this file. */
    static rockshift.server.AgreedChangesSource source(String name) throws InvalidFileException {
        Section file = OperatorFile.read(name);
        OperatorSettings settings = read(file);
        if (settings.cluster != null) {
            return new ClusterChangesSource(settings.cluster);
        } else if (settings.distribution.relay() != null) {
            throw file.invalid(
                    "distribution.relay", "is served by 'rockshift relay', not by a controller");
        }
        return new DistributionChangesSource(settings.distribution);
    }

    /** Returns the settings of a relay. */
    static DistributionSettings relay(String name) throws InvalidFileException {
        Section file = OperatorFile.read(name);
        if (!file.has("distribution")) {
            throw file.invalid("distribution", "is missing");
        }
        DistributionSettings distribution = read(file).distribution;
        if (distribution.relay() == null) {
            throw file.invalid("distribution.relay", "is missing");
        }
        return distribution;
    }

    /** Returns one line that says what the file enables. */
    String summary() {
        StringBuilder text = new StringBuilder();
        if (cluster != null) {
            text.append("member ")
                    .append(cluster.name())
                    .append(" of ")
                    .append(
                            cluster.founders().isEmpty()
                                    ? "a cluster that it is added to"
                                    : cluster.founders().keySet().toString())
                    .append(", listens on ")
                    .append(cluster.listen().getHostString())
                    .append(':')
                    .append(cluster.listen().getPort())
                    .append(", folder ")
                    .append(cluster.folder());
        }
        if (distribution != null) {
            text.append(cluster == null ? "" : "; ")
                    .append(distribution.relay() == null ? "controller " : "relay ")
                    .append(distribution.name())
                    .append(" subscribes at ")
                    .append(distribution.upstreams().keySet());
        }
        if (distribution != null && distribution.relay() != null) {
            text.append(", listens on ")
                    .append(distribution.relay().listen().getHostString())
                    .append(':')
                    .append(distribution.relay().listen().getPort());
        }
        return text.toString();
    }
}
