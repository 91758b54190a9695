package rockshift.capacity;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.testkit.LoggedProcess;
import rockshift.testkit.ProgramCommand;
import rockshift.testkit.StaticDiscoveryServer;

/**
 * A real controller in its own process that subscribes to all changes at a region's relays. The
 * revisions in force are read from its log.
 */
final class ControllerInRegion implements AutoCloseable {
    private static final FleetShape SHAPE = new FleetShape(36, 2, 16, 3);
    private static final Pattern PORT = Pattern.compile("serves on .*, port (\\d+)");
    private static final Pattern IN_FORCE =
            Pattern.compile("agreed state in force revision=([0-9a-f]+)/(\\d+) ");

    private final String name;
    private final ScaleChecker checker;
    private final StaticDiscoveryServer discovery =
            new StaticDiscoveryServer(SHAPE.replicas(), SHAPE.zoneNames());
    private final LoggedProcess process;

    ControllerInRegion(
            String name, Path folder, List<InetSocketAddress> upstreams, ScaleChecker checker)
            throws IOException, InterruptedException {
        this.name = name;
        this.checker = checker;
        StringBuilder text = new StringBuilder("distribution {\n  name = \"" + name + "\"\n");
        for (int i = 0; i < upstreams.size(); i++) {
            text.append(
                    "  upstream \"r"
                            + i
                            + "\" { address = \"127.0.0.1:"
                            + upstreams.get(i).getPort()
                            + "\" }\n");
        }
        Path operator =
                Files.writeString(
                        folder.resolve(name + ".hcl"),
                        text.append("  scope { everything = true }\n}\n"));
        Path configuration =
                Files.writeString(
                        folder.resolve(name + ".json"),
                        SHAPE.configuration(discovery.port(), discovery.list()));
        checker.observe(
                new Observation.Started(LightweightController.nowMillis(), name, Scope.all()));
        process =
                new LoggedProcess(
                        ProgramCommand.serve(
                                configuration,
                                List.of(),
                                List.of("--operator", operator.toString())),
                        PORT,
                        this::handleLogLine);
        process.awaitPort();
    }

    private void handleLogLine(String line) {
        Matcher inForce = IN_FORCE.matcher(line);
        if (inForce.find()) {
            checker.observe(
                    new Observation.RevisionLogged(
                            LightweightController.nowMillis(),
                            name,
                            new Revision(
                                    Long.parseUnsignedLong(inForce.group(1), 16),
                                    Long.parseLong(inForce.group(2)))));
        }
    }

    String name() {
        return name;
    }

    long pid() {
        return process.pid();
    }

    @Override
    public void close() throws IOException {
        process.close();
        discovery.close();
    }
}
