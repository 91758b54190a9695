package rockshift.cli;

import picocli.CommandLine.Command;

/** The commands that measure how costs grow with the size of the fleet, on loopback. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Measures how costs grow with the size of the fleet, on loopback.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            ScaleControllerCommand.class,
            ScaleRunCommand.class,
            ScaleCapacityCommand.class
        })
final class ScaleCommands extends CommandGroup {}
