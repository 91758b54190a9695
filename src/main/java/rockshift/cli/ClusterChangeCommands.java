package rockshift.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rockshift.cluster.Change;
import rockshift.cluster.ClusterClient;

/** The commands that propose changes to the agreed state, and list the applied changes. */
final class ClusterChangeCommands {
    private ClusterChangeCommands() {}

    @Command(
            name = "propose",
            mixinStandardHelpOptions = true,
            description =
                    "Sets a budget (crossing, moves) or a term, which is a setting that may change"
                            + " at run time (price.crossing, price.orders, goal.worst.class).")
    static final class Propose implements Callable<Integer> {
        /** What to set. */
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

        @Option(names = "--reason", defaultValue = "", description = "reason, kept with the change")
        private String reason;

        @Override
        public Integer call() throws Exception {
            return members.change(
                    new Change(Change.Kind.valueOf(kind.name()), name, 0, value, reason), false);
        }
    }

    /** Proposes a change of one replica; subclasses determine its kind. */
    abstract static class ReplicaCommand implements Callable<Integer> {
        private final Change.Kind kind;
        @Mixin private MemberOptions members;

        @Parameters(
                index = "0",
                paramLabel = "REPLICA",
                description = "name of the replica in discovery")
        private String replica;

        @Option(names = "--reason", defaultValue = "", description = "reason, kept with the change")
        private String reason;

        @Option(
                names = "--force",
                description = "propose the change even if the controller that is asked objects")
        private boolean force;

        ReplicaCommand(Change.Kind kind) {
            this.kind = kind;
        }

        @Override
        public Integer call() throws Exception {
            return members.change(change(kind, replica, reason), force);
        }

        Change change(Change.Kind changeKind, String subject, String changeReason) {
            return new Change(changeKind, subject, 0, 0, changeReason);
        }
    }

    /** Drains or holds a replica, in all services and zones or in one. */
    abstract static class ScopedReplicaCommand extends ReplicaCommand {
        @Option(
                names = "--service",
                defaultValue = "",
                description = "service that the change applies to; every service if omitted")
        private String service;

        @Option(
                names = "--zone",
                defaultValue = "",
                description =
                        "zone that the change applies to; the zone in which the replica is listed"
                                + " if omitted")
        private String zone;

        ScopedReplicaCommand(Change.Kind kind) {
            super(kind);
        }

        @Override
        Change change(Change.Kind changeKind, String subject, String changeReason) {
            return new Change(changeKind, subject, 0, 0, changeReason, service, zone);
        }
    }

    @Command(
            name = "drain",
            mixinStandardHelpOptions = true,
            description = "Drains a replica until it restarts or is undrained.")
    static final class Drain extends ScopedReplicaCommand {
        Drain() {
            super(Change.Kind.DRAIN);
        }
    }

    @Command(
            name = "hold",
            mixinStandardHelpOptions = true,
            description = "Drains a replica until it is undrained, even if it restarts.")
    static final class Hold extends ScopedReplicaCommand {
        Hold() {
            super(Change.Kind.HOLD);
        }
    }

    @Command(
            name = "back",
            mixinStandardHelpOptions = true,
            description = "Undrains a drained or held replica.")
    static final class Back extends ReplicaCommand {
        Back() {
            super(Change.Kind.BACK);
        }
    }

    @Command(
            name = "log",
            mixinStandardHelpOptions = true,
            description = "Lists the applied changes, in order.")
    static final class ListChanges implements Callable<Integer> {
        @Mixin private MemberOptions members;

        @Override
        public Integer call() throws Exception {
            try (ClusterClient client = members.client()) {
                JsonNode answer =
                        client.sendToLeader(ClusterClient.newCall("log"), members.deadlineMillis());
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
