package rockshift;

import java.io.IOException;
import rockshift.server.ControllerProcess;
import rockshift.server.ProcessSignals;
import rockshift.simulation.SimulatorAdapter;

/**
 * Starts the program named by the first argument. The controller and the simulator adapter start
 * without loading classes that only the commands need.
 */
public final class Main {
    private Main() {}

    /** Runs the program named by the first argument and exits with its status. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        String command = arguments.length == 1 ? arguments[0] : "";
        if (command.equals("serve")) {
            ProcessSignals signals = ProcessSignals.install();
            int status = ControllerProcess.run(System.getenv(), signals, null);
            signals.markExiting();
            System.exit(status);
        } else if (command.equals("drill")) {
            System.exit(SimulatorAdapter.run(System.in, System.out));
        }
        System.exit(rockshift.cli.Commands.run(arguments));
    }
}
