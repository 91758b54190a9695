package rockshift.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rockshift.cluster.ClusterClient;

/** The commands that change members, leadership and snapshots. */
final class ClusterMemberCommands {
    private ClusterMemberCommands() {}

    @Command(
            name = "member",
            mixinStandardHelpOptions = true,
            description = "Adds or removes members, one at a time.",
            synopsisSubcommandLabel = "COMMAND",
            subcommands = {Add.class, Remove.class})
    static final class Members extends CommandGroup {}

    @Command(
            name = "add",
            mixinStandardHelpOptions = true,
            description = "Adds a member that is already running. It votes once it has caught up.")
    static final class Add implements Callable<Integer> {
        @Mixin private MemberOptions members;

        @Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @Parameters(index = "1", paramLabel = "ADDRESS")
        private String address;

        @Option(names = "--learner", description = "add it as a learner, which never votes")
        private boolean learner;

        @Override
        public Integer call() throws Exception {
            try (ClusterClient client = members.client()) {
                JsonNode self = client.send(address, ClusterClient.newCall("status"));
                if (!self.path("name").asText().equals(name)) {
                    members.out()
                            .println(
                                    "refused: the member at "
                                            + address
                                            + " is named "
                                            + self.path("name").asText()
                                            + ", not "
                                            + name);
                    return Commands.FAILURE;
                }
                return members.print(
                        client.sendToLeader(
                                ClusterClient.newCall("add")
                                        .put("id", self.path("number").asLong())
                                        .put("name", name)
                                        .put("address", address)
                                        .put("learner", learner),
                                members.deadlineMillis()),
                        name + " added");
            }
        }
    }

    @Command(name = "remove", mixinStandardHelpOptions = true, description = "Removes a member.")
    static final class Remove implements Callable<Integer> {
        @Mixin private MemberOptions members;

        @Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @Override
        public Integer call() throws Exception {
            return members.ask(
                    ClusterClient.newCall("remove").put("name", name), name + " removed");
        }
    }

    @Command(
            name = "transfer",
            mixinStandardHelpOptions = true,
            description = "Transfers leadership to a member.")
    static final class Transfer implements Callable<Integer> {
        @Mixin private MemberOptions members;

        @Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @Override
        public Integer call() throws Exception {
            return members.ask(
                    ClusterClient.newCall("transfer").put("name", name),
                    "transferring leadership to " + name);
        }
    }

    @Command(
            name = "snapshot",
            mixinStandardHelpOptions = true,
            description = "Makes the first member that answers take a snapshot now.")
    static final class Snapshot implements Callable<Integer> {
        @Mixin private MemberOptions members;

        @Override
        public Integer call() throws Exception {
            return members.ask(
                    ClusterClient.newCall("snapshot"),
                    "taking a snapshot, if there is anything new");
        }
    }
}
