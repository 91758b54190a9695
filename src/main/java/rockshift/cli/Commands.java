package rockshift.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import rockshift.config.InvalidFileException;
import rockshift.server.AgreedChangesSource;
import rockshift.server.ProcessSignals;
import rockshift.simulation.SimulatorAdapter;

/**
 * All commands. Exit statuses: 0 all held, 1 something that was checked did not hold, 2 the call or
 * a file can't be used.
 */
@Command(
        name = "rockshift",
        mixinStandardHelpOptions = true,
        version = "rockshift 0.1.0",
        description = "A central planner behind plain proxies.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            Commands.Serve.class,
            Commands.Play.class,
            Commands.Check.class,
            ClusterCommands.class,
            RelayCommand.class,
            ScaleCommands.class
        })
public final class Commands extends CommandGroup {
    static final int SUCCESS = 0;
    static final int FAILURE = 1;
    static final int INVALID_USAGE = 2;

    /** Runs one command line; answers its exit status. */
    public static int run(String... arguments) {
        return new CommandLine(new Commands())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler(
                        (failure, line, parsed) -> {
                            line.getErr()
                                    .println(
                                            failure instanceof InvalidFileException
                                                            || failure instanceof IOException
                                                    ? failure.getMessage()
                                                    : failure.toString());
                            return failure instanceof InvalidFileException
                                    ? INVALID_USAGE
                                    : FAILURE;
                        })
                .execute(arguments);
    }

    /** A controller on sockets. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = "Serves as a governor, as the file that RELAY_CONFIG names tells.")
    static final class Serve implements Callable<Integer> {
        @Option(
                names = "--operator",
                paramLabel = "FILE",
                description = "the operator's file: what is switched on beside")
        private String operator;

        @Override
        public Integer call() throws Exception {
            ProcessSignals signals = ProcessSignals.install();
            try {
                return rockshift.server.ControllerProcess.run(
                        System.getenv(), signals, operator == null ? null : source());
            } finally {
                signals.release();
            }
        }

        private AgreedChangesSource source() throws Exception {
            return OperatorSettings.source(operator);
        }
    }

    /** The simulator's wire. */
    @Command(
            name = "drill",
            mixinStandardHelpOptions = true,
            description =
                    "Plays the same decisions on the simulator's wire, on standard input and"
                            + " output.")
    static final class Play implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            return SimulatorAdapter.run(System.in, System.out);
        }
    }

    /** Reads an operator's file. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Reads an operator's file, and names what is wrong in it by file, line and"
                            + " field.")
    static final class Check implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "FILE")
        private String name;

        @Override
        public Integer call() throws InvalidFileException {
            spec.commandLine()
                    .getOut()
                    .println(name + ": " + OperatorSettings.read(name).summary());
            return SUCCESS;
        }
    }
}
