package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Signals at each stage of a process's life. The stage is known from the process's output, or from
 * a pipe in place of its file, which blocks it while reading. Signals and messages that must arrive
 * together are sent while the process is stopped.
 */
class ControllerProcessTest extends ProcessFixture {
    /** Creates a named pipe, to be read in place of a file. */
    private Path pipe() throws Exception {
        Path pipe = folder.resolve("pipe.json");
        assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor()).isZero();
        return pipe;
    }

    /** Opens a pipe for writing, which blocks until the process reads it. */
    private static OutputStream openForWriting(Path pipe) throws IOException {
        return new FileOutputStream(pipe.toFile());
    }

    /** Returns the log text of a reload. */
    private static String reloaded(Path file, FakeDiscovery discovery) {
        return "configuration reloaded file=" + file + " discovery=127.0.0.1:" + discovery.port();
    }

    /**
     * The handler was installed only after the file had been read, so a SIGHUP during a restart
     * ended the process.
     */
    @Test
    void sighupWhileTheFileIsReadReloadsIt() throws Exception {
        byte[] first = Files.readAllBytes(Path.of(configuration()));
        Path pipe = pipe();
        try (FakeDiscovery other = new FakeDiscovery()) {
            byte[] second =
                    Files.readAllBytes(
                            Path.of(
                                    configuration(
                                            other,
                                            "127.0.0.1:0",
                                            1024,
                                            SETTINGS,
                                            entry("s-1", "Ready", 0))));
            LaunchedProcess controller = new LaunchedProcess(pipe.toString());
            try (OutputStream file = openForWriting(pipe)) {
                controller.signal("HUP");
                file.write(first);
            }
            controller.awaitLine("serves on");
            try (OutputStream file = openForWriting(pipe)) {
                file.write(second);
            }
            controller.awaitLine(reloaded(pipe, other));
            await("a call at the new address", () -> !other.calls.isEmpty());
        }
    }

    @Test
    void sigtermWhileTheFileIsReadEndsTheProcess() throws Exception {
        Path pipe = pipe();
        LaunchedProcess controller = new LaunchedProcess(pipe.toString());
        try (OutputStream file = openForWriting(pipe)) {
            controller.signal("TERM");
            controller.assertEnds();
        }
    }

    /**
     * The shutdown hook ended the process with status 0, so a failed start looked like an orderly
     * exit.
     */
    @Test
    void failedStartKeepsItsExitStatus() throws Exception {
        try (ServerSocket taken = new ServerSocket()) {
            taken.bind(new InetSocketAddress("127.0.0.1", 0));
            LaunchedProcess controller =
                    new LaunchedProcess(
                            configuration("127.0.0.1:" + taken.getLocalPort(), 1024, SETTINGS));
            assertThat(controller.process.waitFor(AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS))
                    .isTrue();
            assertThat(controller.process.exitValue()).isEqualTo(1);
            controller.awaitLine("cannot listen on");
            assertThat(controller.hasLogged("stopping name=")).isFalse();
        }
        LaunchedProcess missingFile =
                new LaunchedProcess(folder.resolve("missing.json").toString());
        assertThat(missingFile.process.waitFor(AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
        assertThat(missingFile.process.exitValue()).isEqualTo(2);
    }

    /**
     * A Java process that is started with SIGHUP ignored never receives it, and did not log that.
     * All controllers kept calling an address of discovery that was gone.
     */
    @Test
    void processWithSighupIgnoredPollsItsFile() throws Exception {
        String file = configuration();
        LaunchedProcess controller =
                new LaunchedProcess(
                        file,
                        "/bin/sh",
                        "-c",
                        "trap '' HUP; exec \"$@\"",
                        "sh",
                        java(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "rockshift.Main",
                        "serve");
        controller.awaitLine("SIGHUP is ignored by the parent process");
        try (FakeDiscovery other = new FakeDiscovery()) {
            Path beside = Files.createDirectory(folder.resolve("beside"));
            Path newFile =
                    Files.move(
                            Path.of(
                                    configuration(
                                            other,
                                            "127.0.0.1:0",
                                            1024,
                                            SETTINGS,
                                            entry("s-1", "Ready", 0))),
                            beside.resolve("new.json"));
            Files.move(newFile, Path.of(file), StandardCopyOption.ATOMIC_MOVE);
            controller.signal("HUP");
            controller.awaitLine(reloaded(Path.of(file), other));
            await("a call at the new address", () -> !other.calls.isEmpty());
        }
        controller.signal("TERM");
        controller.assertEnds();
    }

    /**
     * The file is replaced between its read and the first check. It is detected only because the
     * version is taken before the read.
     */
    @Test
    void fileReplacedWhileItIsReadIsReloaded() throws Exception {
        byte[] first = Files.readAllBytes(Path.of(configuration()));
        Path pipe = pipe();
        LaunchedProcess controller =
                new LaunchedProcess(
                        pipe.toString(),
                        "/bin/sh",
                        "-c",
                        "trap '' HUP; exec \"$@\"",
                        "sh",
                        java(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "rockshift.Main",
                        "serve");
        try (OutputStream held = openForWriting(pipe)) {
            Files.move(Path.of(configuration()), pipe, StandardCopyOption.ATOMIC_MOVE);
            held.write(first);
        }
        controller.awaitLine("configuration reloaded file=");
    }

    /**
     * Loading classes that a start does not need takes processor time and delays the first answer.
     */
    @Test
    void startLoadsNeitherTlsNorUnusedPackages() throws Exception {
        LaunchedProcess controller =
                new LaunchedProcess(
                        configuration(),
                        java(),
                        "-Xlog:class+load:stderr",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "rockshift.Main",
                        "serve");
        controller.awaitLine("serves on");
        await("a discovery call", () -> !discovery.calls.isEmpty());
        discovery.enqueue(list(41, true, entry("s-1", "Ready", 0)));
        await("the next discovery call", () -> discovery.calls.size() == 2);
        assertThat(controller.hasLogged("rockshift.server.DiscoveryHttpClient")).isTrue();
        assertThat(controller.hasLogged("sun.security.ssl")).isFalse();
        assertThat(
                        List.of(
                                "rockshift.cluster",
                                "rockshift.distribution",
                                "rockshift.config",
                                "rockshift.storage",
                                "rockshift.wire",
                                "rockshift.cli",
                                "rockshift.raft"))
                .as("packages that are needed only with an operator's file")
                .noneMatch(controller::hasLogged);
    }

    @Test
    void repeatedSigtermEndsAnIdleProcessOnce() throws Exception {
        LaunchedProcess controller = new LaunchedProcess(configuration()).awaitLine("serves on");
        controller.signal("STOP", "TERM", "HUP", "TERM", "CONT");
        controller.assertEnds();
    }

    /** Joins, partial messages and whole messages are unread when the signals arrive. */
    @ParameterizedTest
    @ValueSource(strings = {"TERM", "TERM HUP", "HUP TERM"})
    void sigtermWithMessagesInFlightEndsAtOnce(String signals) throws Exception {
        String settings = SETTINGS.replace("\"proxy_count\":8", "\"proxy_count\":200");
        LaunchedProcess controller =
                new LaunchedProcess(
                        configuration("127.0.0.1:0", 1024, settings, entry("s-1", "Ready", 0)));
        List<Peer> peers = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            peers.add(
                    controller
                            .peer()
                            .send("joined sidecar " + i + " az east share 21.5 standing 1"));
        }
        peers.get(0).receive("whole", "1");
        controller.signal("STOP");
        for (int i = 0; i < 50; i++) {
            peers.get(i).send("usage sidecar " + i + " kind cut n 19 bad 0 window 1000.0");
            byte[] acknowledgement =
                    RespCodec.message(
                            List.of("applied", "sidecar", "1", "version", "1", "lag_ms", "1"));
            peers.get(i)
                    .socket
                    .getOutputStream()
                    .write(acknowledgement, 0, acknowledgement.length / 2);
            controller
                    .peer()
                    .send("joined sidecar " + (100 + i) + " az east share 21.5 standing 1");
        }
        controller.signal(signals.split(" "));
        controller.signal("CONT");
        controller.assertEnds();
        for (Peer peer : peers) {
            peer.awaitClosed();
        }
    }

    /** Reading the file of a reload can take any time. SIGTERM must not wait for it. */
    @Test
    void sigtermDuringAReloadEndsAtOnce() throws Exception {
        String file = configuration();
        LaunchedProcess controller = new LaunchedProcess(file).awaitLine("serves on");
        Path pipe = pipe();
        Files.move(pipe, Path.of(file), StandardCopyOption.REPLACE_EXISTING);
        controller.signal("HUP");
        try (OutputStream held = openForWriting(Path.of(file))) {
            controller.signal("HUP", "TERM");
            controller.assertEnds();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Le",
                "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"gener"
            })
    void sigtermWithAPartialDiscoveryAnswerEndsAtOnce(String partialAnswer) throws Exception {
        try (ServerSocket scripted = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            String file = configuration();
            Files.writeString(
                    Path.of(file),
                    Files.readString(Path.of(file))
                            .replace(
                                    "127.0.0.1:" + discovery.port(),
                                    "127.0.0.1:" + scripted.getLocalPort()));
            LaunchedProcess controller = new LaunchedProcess(file);
            try (Socket call = scripted.accept()) {
                assertThat(FakeDiscovery.readRequestLine(call)).contains("GET /discovery/hosts");
                call.getOutputStream().write(partialAnswer.getBytes(StandardCharsets.US_ASCII));
                controller.awaitLine("serves on");
                controller.signal("TERM");
                controller.assertEnds();
            }
        }
    }

    /**
     * The new file belongs to another controller. The address of discovery takes effect; all other
     * changed fields need a restart and are logged.
     */
    @Test
    void reloadNamesFieldsThatNeedARestart() throws Exception {
        String file = configuration();
        LaunchedProcess controller = new LaunchedProcess(file);
        Peer proxy = controller.peer().send("joined sidecar 3 az east share 21.5 standing 1");
        proxy.receive("whole", "1");
        try (FakeDiscovery other = new FakeDiscovery()) {
            String newFile =
                    configuration(
                            other,
                            "127.0.0.1:9",
                            64,
                            SETTINGS.replace("\"cut\"", "\"cutter\""),
                            entry("s-9", "Ready", 0));
            Files.writeString(
                    Path.of(newFile),
                    Files.readString(Path.of(newFile)).replace("\"n1\"", "\"n2\""));
            controller.signal("HUP");
            controller.awaitLine("restartNeededFor=\"name, listen, limits, settings\"");
            await("a call at the new address", () -> !other.calls.isEmpty());
            other.enqueue(list(3, true, entry("s-1", "Ready", 0), entry("s-3", "Ready", 0)));
            assertThat(proxy.receive("lines", "s-3:")).containsEntry("classes", "cut");
        }
    }
}
