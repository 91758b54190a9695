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
 * Signals at each point of a process's life. Where it is shows by its output, or by a pipe in place
 * of its file, which holds it in the reading; what must come together comes while the process is
 * stopped, and is met as it goes on.
 */
class ProcessTest extends ProcessFixture {
    /** A pipe in a file's place. */
    private Path pipe() throws Exception {
        Path pipe = folder.resolve("pipe.json");
        assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor()).isZero();
        return pipe;
    }

    /** Opens a pipe for writing: there is somebody now who reads. */
    private static OutputStream read(Path pipe) throws IOException {
        return new FileOutputStream(pipe.toFile());
    }

    /** What the log says of a reload. */
    private static String reloaded(Path file, Discovery discovery) {
        return "configuration reloaded file=" + file + " discovery=127.0.0.1:" + discovery.port();
    }

    // ---- before it serves ----

    /**
     * The handler stood only once the file was read: a new file in the moment of a restart ended
     * the process.
     */
    @Test
    void aHangupWhileTheFileIsReadHasItReadAgain() throws Exception {
        byte[] first = Files.readAllBytes(Path.of(configuration()));
        Path pipe = pipe();
        try (Discovery other = new Discovery()) {
            byte[] second =
                    Files.readAllBytes(
                            Path.of(
                                    configuration(
                                            other,
                                            "127.0.0.1:0",
                                            1024,
                                            TERMS,
                                            entry("s-1", "Ready", 0))));
            Launched governor = new Launched(pipe.toString());
            try (OutputStream file = read(pipe)) {
                governor.signal("HUP");
                file.write(first);
            }
            governor.awaitLine("serves on");
            try (OutputStream file = read(pipe)) {
                file.write(second);
            }
            governor.awaitLine(reloaded(pipe, other));
            await("a call there", () -> !other.calls.isEmpty());
        }
    }

    @Test
    void anEndWhileTheFileIsReadIsAnEndAsAnyOther() throws Exception {
        Path pipe = pipe();
        Launched governor = new Launched(pipe.toString());
        try (OutputStream file = read(pipe)) {
            governor.signal("TERM");
            governor.assertEnds();
        }
    }

    /**
     * What runs as a process ends took its status away: a failed start looked like an ordered end.
     */
    @Test
    void aStartThatFailsKeepsItsStatus() throws Exception {
        try (ServerSocket taken = new ServerSocket()) {
            taken.bind(new InetSocketAddress("127.0.0.1", 0));
            Launched governor =
                    new Launched(configuration("127.0.0.1:" + taken.getLocalPort(), 1024, TERMS));
            assertThat(governor.process.waitFor(LONG, TimeUnit.MILLISECONDS)).isTrue();
            assertThat(governor.process.exitValue()).isEqualTo(1);
            governor.awaitLine("cannot listen on");
            assertThat(governor.said("stopping name=")).isFalse();
        }
        Launched nothing = new Launched(folder.resolve("missing.json").toString());
        assertThat(nothing.process.waitFor(LONG, TimeUnit.MILLISECONDS)).isTrue();
        assertThat(nothing.process.exitValue()).isEqualTo(2);
    }

    /**
     * Started by what ignores hang-ups, a Java process never hears of one, and said nothing: all
     * governors went on asking an address of discovery that was gone.
     */
    @Test
    void aProcessThatCanNotHearOfAHangupLooksAtItsFile() throws Exception {
        String file = configuration();
        Launched deaf =
                new Launched(
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
        deaf.awaitLine("SIGHUP is ignored by the parent process");
        try (Discovery other = new Discovery()) {
            Path beside = Files.createDirectory(folder.resolve("beside"));
            Path told =
                    Files.move(
                            Path.of(
                                    configuration(
                                            other,
                                            "127.0.0.1:0",
                                            1024,
                                            TERMS,
                                            entry("s-1", "Ready", 0))),
                            beside.resolve("new.json"));
            Files.move(told, Path.of(file), StandardCopyOption.ATOMIC_MOVE);
            deaf.signal("HUP");
            deaf.awaitLine(reloaded(Path.of(file), other));
            await("a call there", () -> !other.calls.isEmpty());
        }
        deaf.signal("TERM");
        deaf.assertEnds();
    }

    /** What is written between the reading and the first look would be seen by neither. */
    @Test
    void aFileThatIsReplacedWhileItIsReadIsReadAgain() throws Exception {
        byte[] first = Files.readAllBytes(Path.of(configuration()));
        Path pipe = pipe();
        Launched deaf =
                new Launched(
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
        try (OutputStream held = read(pipe)) {
            Files.move(Path.of(configuration()), pipe, StandardCopyOption.ATOMIC_MOVE);
            held.write(first);
        }
        deaf.awaitLine("configuration reloaded file=");
    }

    /** What a start has no use for is processor time that the first answer waits for. */
    @Test
    void aStartLoadsNothingOfTls() throws Exception {
        Launched governor =
                new Launched(
                        configuration(),
                        java(),
                        "-Xlog:class+load:stderr",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "rockshift.Main",
                        "serve");
        governor.awaitLine("serves on");
        await("a call", () -> !discovery.calls.isEmpty());
        discovery.say(list(41, true, entry("s-1", "Ready", 0)));
        await("the next call", () -> discovery.calls.size() == 2);
        assertThat(governor.said("rockshift.server.DiscoveryHttpClient")).isTrue();
        assertThat(governor.said("sun.security.ssl")).isFalse();
        assertThat(
                        List.of(
                                "rockshift.cluster",
                                "rockshift.distribution",
                                "rockshift.config",
                                "rockshift.storage",
                                "rockshift.wire",
                                "rockshift.cli",
                                "rockshift.raft"))
                .as("what no operator's file asked for")
                .noneMatch(governor::said);
    }

    // ---- while it serves ----

    @Test
    void anEndComesWhileNobodyHasJoinedAndOnlyOnce() throws Exception {
        Launched governor = new Launched(configuration()).awaitLine("serves on");
        governor.signal("STOP", "TERM", "HUP", "TERM", "CONT");
        governor.assertEnds();
    }

    /** Joins, half a message and whole messages lie unread as the signal comes. */
    @ParameterizedTest
    @ValueSource(strings = {"TERM", "TERM HUP", "HUP TERM"})
    void anEndWithMessagesInFlightWaitsForNobody(String signals) throws Exception {
        String crowd = TERMS.replace("\"proxy_count\":8", "\"proxy_count\":200");
        Launched governor =
                new Launched(configuration("127.0.0.1:0", 1024, crowd, entry("s-1", "Ready", 0)));
        List<Peer> peers = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            peers.add(
                    governor.peer().say("joined sidecar " + i + " az east share 21.5 standing 1"));
        }
        peers.get(0).hear("whole", "1");
        governor.signal("STOP");
        for (int i = 0; i < 50; i++) {
            peers.get(i).say("usage sidecar " + i + " kind cut n 19 bad 0 window 1000.0");
            byte[] mark =
                    RespCodec.message(
                            List.of("applied", "sidecar", "1", "version", "1", "lag_ms", "1"));
            peers.get(i).socket.getOutputStream().write(mark, 0, mark.length / 2);
            governor.peer().say("joined sidecar " + (100 + i) + " az east share 21.5 standing 1");
        }
        governor.signal(signals.split(" "));
        governor.signal("CONT");
        governor.assertEnds();
        for (Peer peer : peers) {
            peer.ended();
        }
    }

    /** The file is being read for a hang-up, which may take as long as it will. */
    @Test
    void anEndDuringAReloadWaitsForNoFile() throws Exception {
        String file = configuration();
        Launched governor = new Launched(file).awaitLine("serves on");
        Path pipe = pipe();
        Files.move(pipe, Path.of(file), StandardCopyOption.REPLACE_EXISTING);
        governor.signal("HUP");
        try (OutputStream held = read(Path.of(file))) {
            governor.signal("HUP", "TERM");
            governor.assertEnds();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Le",
                "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"gener"
            })
    void anEndWithHalfAnAnswerOfDiscoveryInHandWaitsForNoRest(String half) throws Exception {
        try (ServerSocket scripted = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            String file = configuration();
            Files.writeString(
                    Path.of(file),
                    Files.readString(Path.of(file))
                            .replace(
                                    "127.0.0.1:" + discovery.port(),
                                    "127.0.0.1:" + scripted.getLocalPort()));
            Launched governor = new Launched(file);
            try (Socket call = scripted.accept()) {
                assertThat(Discovery.call(call)).contains("GET /discovery/hosts");
                call.getOutputStream().write(half.getBytes(StandardCharsets.US_ASCII));
                governor.awaitLine("serves on");
                governor.signal("TERM");
                governor.assertEnds();
            }
        }
    }

    /** Discovery moves; all else that a file may tell waits for a restart, and is named. */
    @Test
    void aFileOfAnotherGovernorMovesDiscoveryAlone() throws Exception {
        String file = configuration();
        Launched governor = new Launched(file);
        Peer proxy = governor.peer().say("joined sidecar 3 az east share 21.5 standing 1");
        proxy.hear("whole", "1");
        try (Discovery other = new Discovery()) {
            String told =
                    configuration(
                            other,
                            "127.0.0.1:9",
                            64,
                            TERMS.replace("\"cut\"", "\"cutter\""),
                            entry("s-9", "Ready", 0));
            Files.writeString(
                    Path.of(told), Files.readString(Path.of(told)).replace("\"n1\"", "\"n2\""));
            governor.signal("HUP");
            governor.awaitLine("restartNeededFor=\"name, listen, limits, settings\"");
            await("a call there", () -> !other.calls.isEmpty());
            other.say(list(3, true, entry("s-1", "Ready", 0), entry("s-3", "Ready", 0)));
            assertThat(proxy.hear("lines", "s-3:")).containsEntry("classes", "cut");
        }
    }
}
