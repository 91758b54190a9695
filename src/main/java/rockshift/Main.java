package rockshift;

import java.io.IOException;
import rockshift.drill.Drill;

/** The command line; each subcommand is a host for the decision module. */
public final class Main {
    private Main() {
    }

    public static void main(String[] arguments) throws IOException {
        if (arguments.length != 1 || !arguments[0].equals("drill")) {
            System.err.println("usage: rockshift drill   (plays on the simulator's wire: stdin, stdout)");
            System.exit(2);
        }
        System.exit(Drill.run(System.in, System.out));
    }
}
