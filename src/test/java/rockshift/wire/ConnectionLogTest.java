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

/** Endings leave a line each, but never a flood of them. */
class ConnectionLogTest {
    private static final long LONG = TimeUnit.SECONDS.toNanos(60);

    private final ByteArrayOutputStream said = new ByteArrayOutputStream();
    private final PrintStream usual = System.err;
    private final ConnectionLog log =
            new ConnectionLog(LoggerFactory.getLogger(ConnectionLogTest.class), "test");

    @BeforeEach
    void listen() {
        System.setErr(new PrintStream(said, true));
    }

    @AfterEach
    void restore() {
        System.setErr(usual);
    }

    private List<String> lines(String text) {
        return said.toString().lines().filter(line -> line.contains(text)).toList();
    }

    @Test
    void beyondFiftyASecondTheyAreCounted() {
        for (int i = 0; i < 120; i++) {
            log.ended("peer", i % 2 == 0 ? "left" : "silent", "about " + i);
        }
        int lines = lines("closed test connection peer: ").size();
        assertThat(lines).isBetween(50, 119);
        long end = System.nanoTime() + LONG;
        while (lines("without a line each").isEmpty()) {
            assertThat(System.nanoTime()).isLessThan(end);
            log.ended("later", "reset", "");
            Thread.onSpinWait();
        }
        assertThat(lines("without a line each").get(0)).contains("left=").contains("silent=");
        assertThat(log.totals()).containsEntry("left", 60L).containsEntry("silent", 60L);
    }
}
