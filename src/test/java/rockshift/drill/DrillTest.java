package rockshift.drill;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class DrillTest {
    private static final String HELLO =
            "HELLO 3 7 classes.count=1 classes.0.name=cut classes.0.worth=1 dcs=a "
                    + "domain.backlog=900.0 domain.channel_rate=500 new.key=x\n";
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private int play(String input) throws IOException {
        return Drill.run(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out);
    }

    @Test
    void anEmptyBatchIsAcknowledged() throws IOException {
        assertThat(play("CLOCK 8412250 1\nOVER_TO_YOU\n")).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8)).isEqualTo("ACK 1\n");
    }

    /** Sheet numbers are reused, even within one batch; each list keeps what its number meant then. */
    @Test
    void sheetsAreResolvedInTheOrderOfEvents() throws IOException {
        play("CLOCK 9000000 1\n" + HELLO + "SHEET 0 1\nROW 11 a k 0 Ready 1 -\nTARGETS 3 SAVED 1 0\n"
                + "SHEET 0 1\nROW 22 a k 0 Ready 1 -\nTARGETS 3 INCREMENTAL 2 0\n"
                + "JOINED 3 1 a 4 2.5\nOVER_TO_YOU\n");
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("WEIGH 3 0 11 0.5\n", "WEIGH 3 0 22 0.5\n",
                "ATTACH_TABLE 3 1 0 4\n", "NOTIFY_ME 3 100000 round\n").endsWith("ACK 1\n");
    }

    @Test
    void aMalformedLineEndsTheRun() throws IOException {
        assertThat(play("CLOCK 9000000 1\n" + HELLO + "LEFT 3 x\nOVER_TO_YOU\n")).isEqualTo(1);
        assertThat(out.size()).isZero();
    }
}
