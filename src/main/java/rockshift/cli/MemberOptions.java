package rockshift.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import rockshift.cluster.Change;
import rockshift.cluster.ClusterClient;
import rockshift.cluster.ClusterSettings;
import rockshift.config.InvalidFileException;
import rockshift.config.OperatorFile;
import rockshift.config.Section;

/** Options for the members that a command asks, for how long, and how it prints the answer. */
final class MemberOptions {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int CALL_TIMEOUT_MILLIS = 2_000;

    @Option(
            names = "--at",
            split = ",",
            paramLabel = "ADDRESS",
            description = "members to ask, as HOST:PORT")
    private List<String> addresses = List.of();

    @Option(
            names = "--operator",
            paramLabel = "FILE",
            description = "operator's file that names members to ask")
    private String operator;

    @Option(
            names = "--timeout",
            paramLabel = "SECONDS",
            defaultValue = "10",
            description = "how long to retry (default: ${DEFAULT-VALUE})")
    private int timeoutSeconds;

    @Option(names = "--json", description = "print the answer as JSON")
    private boolean json;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    /** Returns the members to ask; those of the operator's file come last. */
    List<String> addresses() throws InvalidFileException {
        List<String> all = new ArrayList<>(addresses);
        if (operator != null) {
            Section file = OperatorFile.read(operator);
            ClusterSettings settings = ClusterSettings.read(file);
            all.add(settings.address());
            settings.founders().values().stream()
                    .filter(address -> !all.contains(address))
                    .forEach(all::add);
        }
        if (all.isEmpty()) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "missing members to ask, name them with --at or --operator");
        }
        return all;
    }

    /** Creates a client of these members; the caller must close it. */
    ClusterClient client() throws InvalidFileException {
        return new ClusterClient(addresses(), RandomGenerator.getDefault(), CALL_TIMEOUT_MILLIS);
    }

    /** Returns the time until which to retry, on the monotonic clock. */
    long deadlineMillis() {
        return System.nanoTime() / NANOS_PER_MILLI + timeoutSeconds * 1_000L;
    }

    /** Returns whether answers are printed as JSON. */
    boolean json() {
        return json;
    }

    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** Prints an answer and returns the exit status. */
    int print(JsonNode answer, String done) {
        String refused =
                answer.path("refused").asText(answer.path("answer").path("refused").asText(""));
        if (json) {
            out().println(answer);
        } else {
            out().println(refused.isEmpty() ? done : "refused: " + refused);
        }
        return refused.isEmpty() ? Commands.SUCCESS : Commands.FAILURE;
    }

    /** Proposes a change, prints its outcome, and returns the exit status. */
    int change(Change change, boolean force)
            throws InvalidFileException, IOException, InterruptedException {
        try (ClusterClient client = client()) {
            JsonNode answer = client.change(change, force, deadlineMillis());
            return print(
                    answer,
                    "applied as version "
                            + answer.path("answer").path("version")
                            + " at index "
                            + answer.path("index"));
        }
    }

    /** Asks the leader, prints its answer, and returns the exit status. */
    int ask(ObjectNode call, String done)
            throws InvalidFileException, IOException, InterruptedException {
        try (ClusterClient client = client()) {
            return print(client.sendToLeader(call, deadlineMillis()), done);
        }
    }
}
