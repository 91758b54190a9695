package rockshift.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.random.RandomGenerator;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import rockshift.cluster.Change;
import rockshift.cluster.ClusterClient;
import rockshift.cluster.ClusterSettings;
import rockshift.config.InvalidFileException;
import rockshift.config.OperatorFile;
import rockshift.config.Section;

/** What staff ask of the agreement. */
@Command(
        name = "cluster",
        mixinStandardHelpOptions = true,
        description = "Asks the governors that agree among themselves.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            ClusterCommands.Status.class,
            ClusterCommands.Propose.class,
            ClusterCommands.Drain.class,
            ClusterCommands.Hold.class,
            ClusterCommands.Back.class,
            ClusterCommands.Members.class,
            ClusterCommands.Transfer.class,
            ClusterCommands.Snapshot.class,
            ClusterCommands.ListChanges.class,
            ExploreCommand.class,
            MeasureCommands.TrialCommand.class,
            MeasureCommands.BenchCommand.class
        })
final class ClusterCommands extends CommandGroup {
    /** TargetOptions to ask, and for how long. */
    static final class TargetOptions {
        @Option(
                names = "--at",
                split = ",",
                paramLabel = "ADDRESS",
                description = "members to ask, by HOST:PORT")
        private List<String> at = List.of();

        @Option(
                names = "--operator",
                paramLabel = "FILE",
                description = "an operator's file that names the founders")
        private String operator;

        @Option(
                names = "--timeout",
                paramLabel = "SECONDS",
                defaultValue = "10",
                description = "how long to go on asking (${DEFAULT-VALUE})")
        private int seconds;

        @Option(names = "--json", description = "print the answer as JSON")
        private boolean json;

        @Spec(Spec.Target.MIXEE)
        private CommandSpec spec;

        List<String> addresses() throws InvalidFileException {
            List<String> all = new ArrayList<>(at);
            if (operator != null) {
                Section file = OperatorFile.read(operator);
                ClusterSettings settings = ClusterSettings.read(file);
                all.add(settings.address());
                settings.founders().values().stream()
                        .filter(address -> !all.contains(address))
                        .forEach(all::add);
            }
            if (all.isEmpty()) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "name members by --at or --operator");
            }
            return all;
        }

        ClusterClient client() throws InvalidFileException {
            return new ClusterClient(addresses(), RandomGenerator.getDefault(), 2_000);
        }

        long deadline() {
            return System.nanoTime() / 1_000_000 + seconds * 1_000L;
        }

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        /** Prints an answer; answers the exit status. */
        int tell(JsonNode answer, String done) {
            String refused =
                    answer.path("refused").asText(answer.path("answer").path("refused").asText(""));
            if (json) {
                out().println(answer);
            } else {
                out().println(refused.isEmpty() ? done : "refused: " + refused);
            }
            return refused.isEmpty() ? Commands.SUCCESS : Commands.FAILURE;
        }

        int change(Change change, boolean force)
                throws InvalidFileException, IOException, InterruptedException {
            try (ClusterClient client = client()) {
                JsonNode answer = client.change(change, force, deadline());
                return tell(
                        answer,
                        "agreed as version "
                                + answer.path("answer").path("version")
                                + ", entry "
                                + answer.path("index"));
            }
        }

        int ask(ObjectNode call, String done)
                throws InvalidFileException, IOException, InterruptedException {
            try (ClusterClient client = client()) {
                return tell(client.askLeader(call, deadline()), done);
            }
        }
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Tells where each member stands.")
    static final class Status implements Callable<Integer> {
        @Mixin private TargetOptions target;

        @Override
        public Integer call() throws Exception {
            try (ClusterClient client = target.client()) {
                Map<String, JsonNode> all = client.statuses();
                boolean reached = false;
                if (!target.json) {
                    target.out()
                            .printf(
                                    "%-22s %-12s %-10s %6s %-12s %-9s %9s %9s %8s %11s %8s %6s %11s"
                                            + "  %s%n",
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
                }
                for (Map.Entry<String, JsonNode> each : all.entrySet()) {
                    JsonNode s = each.getValue();
                    reached |= s.path("in_touch").asBoolean();
                    if (target.json) {
                        target.out().println(s);
                    } else if (s.has("unreached")) {
                        target.out()
                                .printf(
                                        "%-22s not reached: %s%n",
                                        each.getKey(), s.path("unreached").asText());
                    } else {
                        JsonNode below = s.path("distribution");
                        target.out()
                                .printf(
                                        "%-22s %-12s %-10s %6d %-12s %-9s %9d %9d %8d %11d %8s %6d"
                                                + " %11d  %s%n",
                                        each.getKey(),
                                        s.path("name").asText(),
                                        s.path("role").asText(),
                                        s.path("term").asLong(),
                                        s.path("leader").asText(),
                                        s.path("orders").asText(),
                                        s.path("agreed").asLong(),
                                        s.path("applied").asLong(),
                                        s.path("version").asLong(),
                                        below.path("subscribers").asInt(),
                                        below.path("subscribers").asInt() == 0
                                                ? "-"
                                                : below.path("lowest").asText(),
                                        below.path("behind").asInt(),
                                        below.path("unreachable").asInt(),
                                        s.path("disk").asText());
                    }
                }
                if (!target.json) {
                    tellBelow(target.out(), all.values());
                }
                return reached ? Commands.SUCCESS : Commands.FAILURE;
            }
        }

        /** Sums up what is in force below all members; a governor counts at one of them. */
        private static void tellBelow(PrintWriter out, Collection<JsonNode> members) {
            int subscribers = 0;
            int behind = 0;
            int unreachable = 0;
            long lowest = Long.MAX_VALUE;
            for (JsonNode member : members) {
                JsonNode below = member.path("distribution");
                subscribers += below.path("subscribers").asInt();
                behind += below.path("behind").asInt();
                unreachable += below.path("unreachable").asInt();
                if (below.path("subscribers").asInt() > 0) {
                    lowest = Math.min(lowest, below.path("lowest").asLong());
                }
            }
            if (subscribers > 0) {
                out.printf(
                        "%d governors subscribe: version %d is in force at all of them, ",
                        subscribers, lowest);
                out.printf("%d behind, %d unreachable%n", behind, unreachable);
            }
        }
    }

    @Command(
            name = "propose",
            mixinStandardHelpOptions = true,
            description =
                    "Has a budget or a term set: price.crossing, price.orders, goal.worst.class,"
                            + " or crossing, moves.")
    static final class Propose implements Callable<Integer> {
        /** What is set. */
        enum What {
            TERM,
            BUDGET
        }

        @Mixin private TargetOptions target;

        @Parameters(index = "0", paramLabel = "term|budget")
        private What what;

        @Parameters(index = "1", paramLabel = "NAME")
        private String name;

        @Parameters(index = "2", paramLabel = "VALUE")
        private double value;

        @Option(names = "--reason", defaultValue = "", description = "for the record")
        private String reason;

        @Override
        public Integer call() throws Exception {
            return target.change(
                    new Change(Change.Kind.valueOf(what.name()), name, 0, value, reason), false);
        }
    }

    /** Asks for a change of one replica; the commands differ by which. */
    abstract static class ReplicaCommand implements Callable<Integer> {
        private final Change.Kind kind;
        @Mixin private TargetOptions target;

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
            return target.change(change(kind, replica, reason), force);
        }

        Change change(Change.Kind of, String subject, String why) {
            return new Change(of, subject, 0, 0, why);
        }
    }

    /** Asks that a replica be kept out, by everyone or by those whom it concerns. */
    abstract static class KeepOutCommand extends ReplicaCommand {
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

        KeepOutCommand(Change.Kind kind) {
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
    static final class Drain extends KeepOutCommand {
        Drain() {
            super(Change.Kind.DRAIN);
        }
    }

    @Command(
            name = "hold",
            mixinStandardHelpOptions = true,
            description = "Keeps a replica out, also after it starts anew, until it is let back.")
    static final class Hold extends KeepOutCommand {
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
            name = "member",
            mixinStandardHelpOptions = true,
            description = "Changes who takes part, one at a time.",
            synopsisSubcommandLabel = "COMMAND",
            subcommands = {Add.class, Remove.class})
    static final class Members extends CommandGroup {}

    @Command(
            name = "add",
            mixinStandardHelpOptions = true,
            description =
                    "Adds a member that runs already: it is brought up to date first and votes"
                            + " then.")
    static final class Add implements Callable<Integer> {
        @Mixin private TargetOptions target;

        @Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @Parameters(index = "1", paramLabel = "ADDRESS")
        private String address;

        @Option(names = "--learner", description = "it only follows, and never votes")
        private boolean learner;

        @Override
        public Integer call() throws Exception {
            try (ClusterClient client = target.client()) {
                JsonNode self = client.ask(address, ClusterClient.call("status"));
                if (!self.path("name").asText().equals(name)) {
                    target.out()
                            .println(
                                    "refused: at "
                                            + address
                                            + " is "
                                            + self.path("name").asText()
                                            + ", not "
                                            + name);
                    return Commands.FAILURE;
                }
                return target.tell(
                        client.askLeader(
                                ClusterClient.call("add")
                                        .put("id", self.path("number").asLong())
                                        .put("name", name)
                                        .put("address", address)
                                        .put("learner", learner),
                                target.deadline()),
                        name + " added");
            }
        }
    }

    @Command(name = "remove", mixinStandardHelpOptions = true, description = "Removes a member.")
    static final class Remove implements Callable<Integer> {
        @Mixin private TargetOptions target;

        @Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @Override
        public Integer call() throws Exception {
            return target.ask(ClusterClient.call("remove").put("name", name), name + " removed");
        }
    }

    @Command(
            name = "transfer",
            mixinStandardHelpOptions = true,
            description = "Hands leadership to a member.")
    static final class Transfer implements Callable<Integer> {
        @Mixin private TargetOptions target;

        @Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @Override
        public Integer call() throws Exception {
            return target.ask(
                    ClusterClient.call("transfer").put("name", name), "handing over to " + name);
        }
    }

    @Command(
            name = "snapshot",
            mixinStandardHelpOptions = true,
            description = "Has the first member that answers take a snapshot now.")
    static final class Snapshot implements Callable<Integer> {
        @Mixin private TargetOptions target;

        @Override
        public Integer call() throws Exception {
            return target.ask(
                    ClusterClient.call("snapshot"),
                    "a snapshot is taken, where there is anything new");
        }
    }

    @Command(
            name = "log",
            mixinStandardHelpOptions = true,
            description = "Lists changes as they were applied, in order.")
    static final class ListChanges implements Callable<Integer> {
        @Mixin private TargetOptions target;

        @Override
        public Integer call() throws Exception {
            try (ClusterClient client = target.client()) {
                JsonNode answer = client.askLeader(ClusterClient.call("log"), target.deadline());
                if (target.json) {
                    target.out().println(answer);
                } else {
                    answer.path("changes")
                            .forEach(
                                    change ->
                                            target.out()
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
