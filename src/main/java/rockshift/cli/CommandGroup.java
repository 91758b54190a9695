package rockshift.cli;

import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that only groups subcommands; calling it without one is an error. */
abstract class CommandGroup implements Runnable {
    @Spec private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "missing subcommand");
    }
}
