package rockshift.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Each closed connection is logged, unless a flood of them would fill the log. */
class ConnectionLogTest {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final PrintStream originalErr = System.err;
    private final ConnectionLog log =
            new ConnectionLog(LoggerFactory.getLogger(ConnectionLogTest.class), "test");

    @BeforeEach
    void captureOutput() {
        System.setErr(new PrintStream(output, true));
    }

    @AfterEach
    void restoreOutput() {
        System.setErr(originalErr);
    }

    private List<String> lines(String text) {
        return output.toString().lines().filter(line -> line.contains(text)).toList();
    }

    /** A peer connects and disconnects a hundred times a second: it must not fill the log. */
    @Test
    void closedConnectionsBeyondFiftyPerSecondAreCountedInOneLine() {
        for (int i = 0; i < 120; i++) {
            log.connectionClosed("peer", i % 2 == 0 ? "left" : "silent", "about " + i);
        }
        int lines = lines("closed test connection peer=peer reason=").size();
        assertThat(lines).isBetween(50, 119);
        long deadline = System.nanoTime() + TIMEOUT_NANOS;
        while (lines("closed test connections, not logged individually: countByReason=")
                .isEmpty()) {
            assertThat(System.nanoTime()).isLessThan(deadline);
            log.connectionClosed("later", "reset", "");
            Thread.onSpinWait();
        }
        assertThat(lines("closed test connections, not logged individually: countByReason=").get(0))
                .contains("left=")
                .contains("silent=");
        assertThat(log.totals()).containsEntry("left", 60L).containsEntry("silent", 60L);
    }
}
