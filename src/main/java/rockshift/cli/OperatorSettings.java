package rockshift.cli;

import rockshift.cluster.ClusterSettings;
import rockshift.config.InvalidFileException;
import rockshift.config.OperatorFile;
import rockshift.config.Section;
import rockshift.distribution.wire.DistributionSettings;

/**
 * The settings of an operator's file.
 *
 * @param cluster the member that a controller becomes by it; null for none
 * @param distribution what a controller or relay subscribes to; null for nothing
 */
record OperatorSettings(ClusterSettings cluster, DistributionSettings distribution) {
    /** Reads a file, and rejects settings that do not fit together. */
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
                    "distribution", "has no meaning beside cluster: a member knows what is agreed");
        }
        return new OperatorSettings(cluster, distribution);
    }

    /** Where a controller with this file gets the agreed changes from. */
    static rockshift.server.AgreedChangesSource source(String name) throws InvalidFileException {
        Section file = OperatorFile.read(name);
        OperatorSettings settings = read(file);
        if (settings.cluster != null) {
            return new ClusterChangesSource(settings.cluster);
        } else if (settings.distribution.relay() != null) {
            throw file.invalid(
                    "distribution.relay", "is served by 'rockshift relay', not by a governor");
        }
        return new DistributionChangesSource(settings.distribution);
    }

    /** The settings of a relay. */
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

    /** One line that tells what the file switches on. */
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
                    .append(distribution.relay() == null ? "governor " : "relay ")
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
