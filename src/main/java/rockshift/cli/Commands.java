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
 * The root of all commands. Exit statuses: 0 for success, 1 if a check or an operation failed, 2 if
 * the arguments or a file are invalid.
 */
@Command(
        name = "rockshift",
        mixinStandardHelpOptions = true,
        version = "rockshift 0.1.0",
        description = "A central planner for plain proxies.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            Commands.Serve.class,
            Commands.Drill.class,
            Commands.Check.class,
            ClusterCommands.class,
            RelayCommand.class,
            ScaleCommands.class
        })
public final class Commands extends CommandGroup {
    static final int SUCCESS = 0;
    static final int FAILURE = 1;
    static final int INVALID_USAGE = 2;

    /** Runs one command line, and returns its exit status. */
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

    /** Runs a controller. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = "Runs a controller, configured by the file that RELAY_CONFIG names.")
    static final class Serve implements Callable<Integer> {
        @Option(
                names = "--operator",
                paramLabel = "FILE",
                description = "operator's file with the features to enable in addition")
        private String operator;

        @Override
        public Integer call() throws Exception {
            ProcessSignals signals = ProcessSignals.install();
            try {
                return rockshift.server.ControllerProcess.run(
                        System.getenv(), signals, operator == null ? null : source());
            } finally {
                signals.markExiting();
            }
        }

        private AgreedChangesSource source() throws Exception {
            return OperatorSettings.source(operator);
        }
    }

    /** Runs the planner with the simulator's protocol. */
    @Command(
            name = "drill",
            mixinStandardHelpOptions = true,
            description =
                    "Runs the planner with the simulator's protocol, on standard input and output.")
    static final class Drill implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            return SimulatorAdapter.run(System.in, System.out);
        }
    }

    /** Checks an operator's file. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Checks an operator's file, and reports an error with its file, line and"
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
