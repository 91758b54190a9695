package rockshift.cli;

import picocli.CommandLine.Command;

/** The commands that operators send to the members of a cluster. */
@Command(
        name = "cluster",
        mixinStandardHelpOptions = true,
        description = "Queries and changes a cluster of controllers.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            ClusterStatusCommand.class,
            ClusterChangeCommands.Propose.class,
            ClusterChangeCommands.Drain.class,
            ClusterChangeCommands.Hold.class,
            ClusterChangeCommands.Back.class,
            ClusterMemberCommands.Members.class,
            ClusterMemberCommands.Transfer.class,
            ClusterMemberCommands.Snapshot.class,
            ClusterChangeCommands.ListChanges.class,
            ExploreCommand.class,
            ClusterTrialCommand.class,
            ClusterBenchCommand.class
        })
final class ClusterCommands extends CommandGroup {}
