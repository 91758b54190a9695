package rockshift.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import rockshift.cluster.ClusterClient;

/** Prints the status of each member, and the version in force at all subscribers. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Prints the status of each member.")
final class ClusterStatusCommand implements Callable<Integer> {
    private static final String HEADER_FORMAT =
            "%-22s %-12s %-10s %6s %-12s %-9s %9s %9s %8s %11s %8s %6s %11s  %s%n";
    private static final String ROW_FORMAT =
            "%-22s %-12s %-10s %6d %-12s %-9s %9d %9d %8d %11d %8s %6d %11d  %s%n";

    @Mixin private MemberOptions members;

    @Override
    public Integer call() throws Exception {
        try (ClusterClient client = members.client()) {
            Map<String, JsonNode> statuses = client.statuses();
            if (members.json()) {
                statuses.values().forEach(members.out()::println);
            } else {
                print(members.out(), statuses);
            }
            boolean anyInTouch =
                    statuses.values().stream()
                            .anyMatch(status -> status.path("in_touch").asBoolean());
            return anyInTouch ? Commands.SUCCESS : Commands.FAILURE;
        }
    }

    private static void print(PrintWriter out, Map<String, JsonNode> statuses) {
        out.printf(
                HEADER_FORMAT,
                "address",
                "name",
                "role",
                "term",
                "leader",
                "orders",
                "agreed",
                "applied",
                "version",
                "subscribers",
                "in force",
                "behind",
                "unreachable",
                "disk");
        statuses.forEach((address, status) -> printRow(out, address, status));
        printSubscribers(out, statuses.values());
    }

    private static void printRow(PrintWriter out, String address, JsonNode status) {
        if (status.has("unreached")) {
            out.printf("%-22s not reached: %s%n", address, status.path("unreached").asText());
            return;
        }
        JsonNode distribution = status.path("distribution");
        int subscribers = distribution.path("subscribers").asInt();
        out.printf(
                ROW_FORMAT,
                address,
                status.path("name").asText(),
                status.path("role").asText(),
                status.path("term").asLong(),
                status.path("leader").asText(),
                status.path("orders").asText(),
                status.path("agreed").asLong(),
                status.path("applied").asLong(),
                status.path("version").asLong(),
                subscribers,
                subscribers == 0 ? "-" : distribution.path("lowest").asText(),
                distribution.path("behind").asInt(),
                distribution.path("unreachable").asInt(),
                status.path("disk").asText());
    }

    /**
     * Prints the sums over the subscribers of all members; a controller is counted at one member
     * only.
     */
    private static void printSubscribers(PrintWriter out, Collection<JsonNode> members) {
        int subscribers = 0;
        int behind = 0;
        int unreachable = 0;
        long lowest = Long.MAX_VALUE;
        for (JsonNode member : members) {
            JsonNode distribution = member.path("distribution");
            subscribers += distribution.path("subscribers").asInt();
            behind += distribution.path("behind").asInt();
            unreachable += distribution.path("unreachable").asInt();
            if (distribution.path("subscribers").asInt() > 0) {
                lowest = Math.min(lowest, distribution.path("lowest").asLong());
            }
        }
        if (subscribers > 0) {
            out.printf(
                    "%d controllers subscribe: version %d is in force at all of them, ",
                    subscribers, lowest);
            out.printf("%d behind, %d unreachable%n", behind, unreachable);
        }
    }
}
