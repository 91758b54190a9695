package rockshift.cli;

import picocli.CommandLine.Command;

/** The commands that operators give to the members that agree. */
@Command(
        name = "cluster",
        mixinStandardHelpOptions = true,
        description = "Asks the governors that agree among themselves.",
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
