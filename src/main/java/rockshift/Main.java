package rockshift;

import java.io.IOException;
import rockshift.drill.Drill;
import rockshift.net.Serve;

/** The command line; each subcommand is a host for the decision module. */
public final class Main {
    private Main() {
    }

    public static void main(String[] arguments) throws IOException, InterruptedException {
        String command = arguments.length == 1 ? arguments[0] : "";
        if (command.equals("serve")) {
            System.exit(Serve.run(System.getenv()));
        } else if (command.equals("drill")) {
            System.exit(Drill.run(System.in, System.out));
        }
        System.err.println("usage: rockshift serve   (a governor on sockets, as RELAY_CONFIG's file tells)\n"
                + "       rockshift drill   (plays on the simulator's wire: stdin, stdout)");
        System.exit(2);
    }
}
