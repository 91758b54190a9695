package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Effects of invalid messages on their sender. */
class InvalidMessageTest extends ControllerFixture {
    @ParameterizedTest
    @CsvSource({
        "hello, unknown-kind",
        "joined az east share 1 standing 1, bad-field",
        "joined sidecar 8 az east share 1 standing 1, bad-field",
        "joined sidecar -1 az east share 1, bad-field",
        "joined sidecar 1 az north share 1 standing 1, bad-field",
        "joined sidecar 1 az east share x, bad-field",
        "joined sidecar 1.5 az east share 1 standing 1, bad-field",
        "collector az north, bad-field",
        "heard az east host s-1 n 1 bad 0 avg 1 window 1, unexpected",
        "applied sidecar 1 version 1, unexpected",
        "usage sidecar 1 kind cut n 1 bad 0 window 1, unexpected",
        "joined sidecar, bad-field"
    })
    void invalidMessageClosesOnlyItsUnidentifiedConnection(String message, String code)
            throws Exception {
        ControllerServer controller = startController();
        Peer proxy = proxy(controller, 3);
        proxy.receive("ticket", "");
        new Peer(controller).send(message).awaitClosed();
        awaitLog("reason=" + code);
        assertThat(loggedLines("closed")).as("log lines of the closed connection").hasSize(1);
        proxy.assertAnswered();
    }

    /**
     * Each of these messages closed its collector's connection, and the following reports were lost
     * until the collector had reconnected.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "heard az east host s-3 n 1 bad 2 avg 1 window 1",
                "heard az east host s-3 n 1 bad 0 avg 1",
                "heard az east host s-3 n 1 bad 0 avg 1 window 1 report util:much",
                "heard az east host s-3 n 9 bad 0 avg 1 window 0",
                "heard az east host s-3 n 1 bad 0 avg 1 window 1 report nan",
                "heard az west host s-3 n 1 bad 0 avg 1 window 1",
                "heard az east host s-3 n 1 bad 0 avg 1 window 1 report util:7",
                "heard az east host s-3 n 1 bad 0 avg 1 window 1e8",
                "heard az east n 1 bad 0 avg 1 window 1",
                "heard az east host s-3 n 1 bad 0 avg 38654705664 window 1",
                "heard az east host s-3 n 38654705664 bad 0 avg 1 window 1",
                "usage sidecar 1 kind none n 1 bad 0 window 1",
                "usage sidecar 1 kind cut n 1 window 1",
                "usage sidecar s-zz kind cut n 1 bad 0 window 1",
                "usage sidecar",
                "later az east",
                "applied sidecar 3 version 1 lag_ms 1",
                "joined sidecar 1 az east share 1 standing 1"
            })
    void invalidMessageOfACollectorIsDroppedAndItsOthersAreApplied(String message)
            throws Exception {
        ControllerServer controller =
                startController(
                        1024,
                        entry("s-1", "Ready", 0),
                        entry("s-2", "Ready", 0),
                        entry("s-3", "Ready", 0));
        proxy(controller, 3).receive();
        Peer collector = new Peer(controller).send("collector az east").send(message).send(message);
        for (int i = 1; i <= 3; i++) {
            collector
                    .send(
                            "heard az east host s-"
                                    + i
                                    + " n 50 bad "
                                    + (i == 3 ? 50 : 0)
                                    + " avg 41.7 window 1000.0 report util:0.61")
                    .send(message);
        }
        awaitLog("ejected replica=s-3 scope=all failureRatio=1.00");
        collector.assertAnswered();
        collector.close();
        awaitLog("droppedMessages=5");
        assertThat(loggedLines("dropped message")).as("log lines of dropped messages").hasSize(1);
    }

    @Test
    void onlyTheInvalidMessageOfAProxyIsDropped() throws Exception {
        ControllerServer controller = startController();
        Peer proxy = proxy(controller, 3);
        proxy.receive("ticket", "");
        for (String message :
                List.of(
                        "applied version 1 lag_ms 1",
                        "applied sidecar 3 version 1e+30 lag_ms 1",
                        "applied sidecar 3 version 1",
                        "applied sidecar 4 version 1 lag_ms 1",
                        "joined sidecar 3 az east share 1",
                        "usage sidecar 4 kind cut n 1 bad 0 window 1",
                        "usage sidecar 3 kind cut n nan bad 0 window 1")) {
            proxy.send(message).assertAnswered();
        }
        proxy.close();
        awaitLog("droppedMessages=7");
    }

    /**
     * Incident r49bae4: requests can fail after the window in which they arrived, so a report may
     * have more failures than arrivals. Such reports were dropped.
     */
    @Test
    void usageReportWithMoreFailuresThanArrivalsIsAccepted() throws Exception {
        ControllerServer controller = startController();
        Peer proxy = proxy(controller, 3);
        proxy.receive("ticket", "");
        proxy.send("usage sidecar 3 kind cut n 0 bad 13 window 2000.0").assertAnswered();
        proxy.close();
        awaitLog("closed connection peer=proxy-3 ");
        assertThat(errorOutput.toString(StandardCharsets.UTF_8)).doesNotContain("dropped");
    }

    /** The end of a malformed message is unknown, so the connection cannot be used any further. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET / HTTP/1.1\r\n\r\n",
                "*1\r\n:5\r\n",
                "*3\r\n$4\r\nnope!\r\n",
                "$-1\r\n"
            })
    void malformedBytesCloseAnIdentifiedConnection(String bytes) throws Exception {
        ControllerServer controller = startController();
        Peer proxy = proxy(controller, 3);
        proxy.receive();
        proxy.socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
        proxy.awaitClosed();
        awaitLog("reason=malformed");
    }
}
