package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Launches processes of this program and checks their log and exit. */
abstract class ProcessFixture extends ControllerFixture {
    /**
     * Time limit in ms for an exit that waits for no peer or file, on a busy machine. The waits
     * that must not occur are much longer.
     */
    static final int END_TIMEOUT_MS = 10_000;

    /** A controller's process and its log so far. */
    final class LaunchedProcess {
        final Process process;
        private final List<String> logLines = Collections.synchronizedList(new ArrayList<>());

        LaunchedProcess(String file, String... command) throws IOException {
            List<String> words = new ArrayList<>(List.of(command));
            if (words.isEmpty()) {
                words.addAll(
                        List.of(
                                java(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "rockshift.Main",
                                "serve"));
            }
            ProcessBuilder builder = new ProcessBuilder(words);
            builder.environment().put("RELAY_CONFIG", file);
            process = builder.start();
            resources.add(process::destroyForcibly);
            BufferedReader log = process.errorReader();
            Thread reader =
                    new Thread(() -> log.lines().forEach(logLines::add), "log of " + process.pid());
            reader.setDaemon(true);
            reader.start();
        }

        boolean hasLogged(String text) {
            synchronized (logLines) {
                return logLines.stream().anyMatch(line -> line.contains(text));
            }
        }

        LaunchedProcess awaitLine(String text) {
            await("logged: " + text, () -> hasLogged(text) || !process.isAlive());
            await("logged before its end: " + text, () -> hasLogged(text));
            return this;
        }

        void signal(String... names) throws Exception {
            for (String name : names) {
                assertThat(
                                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                                        .start()
                                        .waitFor())
                        .isZero();
            }
        }

        int port() {
            return port("serves on");
        }

        /** Returns the port in the log line that contains a text. */
        int port(String line) {
            awaitLine(line);
            synchronized (logLines) {
                Matcher port =
                        Pattern.compile(line + " .*\\bport[ =](\\d+)")
                                .matcher(String.join("\n", logLines));
                assertThat(port.find()).isTrue();
                return Integer.parseInt(port.group(1));
            }
        }

        Peer peer() throws IOException {
            return new Peer(new Socket(InetAddress.getLoopbackAddress(), port()));
        }

        /** Asserts that the process ends with status 0 without waiting. */
        void assertEnds() throws InterruptedException {
            assertThat(process.waitFor(END_TIMEOUT_MS, TimeUnit.MILLISECONDS))
                    .as("the process has ended")
                    .isTrue();
            assertThat(process.exitValue()).isZero();
        }
    }

    static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    /** Launches one of the project's programs with the options of this test's own process. */
    LaunchedProcess run(String... words) throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                java(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "rockshift.Main"));
        command.addAll(List.of(words));
        return new LaunchedProcess(configuration(), command.toArray(String[]::new));
    }

    String configuration() throws IOException {
        return configuration("127.0.0.1:0", 1024, SETTINGS, entry("s-1", "Ready", 0));
    }

    /** Writes an operator's file, and returns its path. */
    String operatorFile(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name + ".hcl"), text).toString();
    }

    /** Writes the file of a member that founds a cluster alone. */
    String soleMemberFile() throws IOException {
        return operatorFile(
                "member",
                "cluster {\n  name = \"n1\"\n  listen = \"127.0.0.1:0\"\n  folder = \""
                        + folder.resolve("n1")
                        + "\"\n  election = \"300ms\"\n"
                        + "  founder \"n1\" { address = \"127.0.0.1:0\" }\n}\n");
    }

    /** Writes the file of a relay that subscribes at a member's port. */
    String relayFile(int listen, int upstream) throws IOException {
        return operatorFile(
                "relay",
                "distribution {\n  name = \"r1\"\n  upstream \"n1\" { address = \"127.0.0.1:"
                        + upstream
                        + "\" }\n  relay { listen = \"127.0.0.1:"
                        + listen
                        + "\" }\n}\n");
    }

    /** Writes the file of a controller that subscribes at a relay's port. */
    String subscriberFile(int relay) throws IOException {
        return operatorFile(
                "governor",
                "distribution {\n  name = \"g1\"\n  upstream \"r1\" { address = \"127.0.0.1:"
                        + relay
                        + "\" }\n  scope { zones = [\"east\"] }\n}\n");
    }
}
