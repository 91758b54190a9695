package rockshift.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rockshift.cluster.Change;
import rockshift.cluster.ClusterClient;

/** The commands that propose changes to the agreed state, and list those that were applied. */
final class ClusterChangeCommands {
    private ClusterChangeCommands() {}

    @Command(
            name = "propose",
            mixinStandardHelpOptions = true,
            description =
                    "Has a budget or a term set: price.crossing, price.orders, goal.worst.class,"
                            + " or crossing, moves.")
    static final class Propose implements Callable<Integer> {
        /** What is set. */
        enum Subject {
            TERM,
            BUDGET
        }

        @Mixin private MemberOptions members;

        @Parameters(index = "0", paramLabel = "term|budget")
        private Subject kind;

        @Parameters(index = "1", paramLabel = "NAME")
        private String name;

        @Parameters(index = "2", paramLabel = "VALUE")
        private double value;

        @Option(names = "--reason", defaultValue = "", description = "for the record")
        private String reason;

        @Override
        public Integer call() throws Exception {
            return members.change(
                    new Change(Change.Kind.valueOf(kind.name()), name, 0, value, reason), false);
        }
    }

    /** Asks for a change of one replica; the commands differ by which. */
    abstract static class ReplicaCommand implements Callable<Integer> {
        private final Change.Kind kind;
        @Mixin private MemberOptions members;

        @Parameters(index = "0", paramLabel = "REPLICA", description = "its name in discovery")
        private String replica;

        @Option(names = "--reason", defaultValue = "", description = "for the record")
        private String reason;

        @Option(names = "--force", description = "even where the governor asked objects")
        private boolean force;

        ReplicaCommand(Change.Kind kind) {
            this.kind = kind;
        }

        @Override
        public Integer call() throws Exception {
            return members.change(change(kind, replica, reason), force);
        }

        Change change(Change.Kind of, String subject, String why) {
            return new Change(of, subject, 0, 0, why);
        }
    }

    /** Has a replica drained, everywhere or for one service or zone. */
    abstract static class ScopedReplicaCommand extends ReplicaCommand {
        @Option(
                names = "--service",
                defaultValue = "",
                description = "the service that it concerns; every one if left out")
        private String service;

        @Option(
                names = "--zone",
                defaultValue = "",
                description =
                        "the zone that it concerns; that in which the replica is listed if left"
                                + " out")
        private String zone;

        ScopedReplicaCommand(Change.Kind kind) {
            super(kind);
        }

        @Override
        Change change(Change.Kind of, String subject, String why) {
            return new Change(of, subject, 0, 0, why, service, zone);
        }
    }

    @Command(
            name = "drain",
            mixinStandardHelpOptions = true,
            description = "Has a replica take nothing new, until it starts anew or is let back.")
    static final class Drain extends ScopedReplicaCommand {
        Drain() {
            super(Change.Kind.DRAIN);
        }
    }

    @Command(
            name = "hold",
            mixinStandardHelpOptions = true,
            description = "Keeps a replica out, also after it starts anew, until it is let back.")
    static final class Hold extends ScopedReplicaCommand {
        Hold() {
            super(Change.Kind.HOLD);
        }
    }

    @Command(
            name = "back",
            mixinStandardHelpOptions = true,
            description = "Lets a drained or held replica back.")
    static final class Back extends ReplicaCommand {
        Back() {
            super(Change.Kind.BACK);
        }
    }

    @Command(
            name = "log",
            mixinStandardHelpOptions = true,
            description = "Lists changes as they were applied, in order.")
    static final class ListChanges implements Callable<Integer> {
        @Mixin private MemberOptions members;

        @Override
        public Integer call() throws Exception {
            try (ClusterClient client = members.client()) {
                JsonNode answer =
                        client.askLeader(ClusterClient.call("log"), members.deadlineMillis());
                if (members.json()) {
                    members.out().println(answer);
                } else {
                    answer.path("changes")
                            .forEach(
                                    change ->
                                            members.out()
                                                    .printf(
                                                            "%9d  %s  %s%n",
                                                            change.path("index").asLong(),
                                                            change.path("change"),
                                                            change.path("outcome")));
                }
                return Commands.SUCCESS;
            }
        }
    }
}
