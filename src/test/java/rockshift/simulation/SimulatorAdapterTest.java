package rockshift.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class SimulatorAdapterTest {
    private static final String HELLO =
            "HELLO 3 7 classes.count=1 classes.0.name=search classes.0.worth=1 dcs=a "
                    + "domain.backlog=900.0 domain.channel_rate=500 new.key=x\n";
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private int play(String input) throws IOException {
        return SimulatorAdapter.run(
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out);
    }

    @Test
    void acknowledgesAnEmptyBatch() throws IOException {
        assertThat(play("CLOCK 8412250 1\nOVER_TO_YOU\n")).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8)).isEqualTo("ACK 1\n");
    }

    /**
     * The simulator reuses the numbers of endpoint lists, even within one batch. An event refers to
     * the latest list with its number that comes before it.
     */
    @Test
    void reusedListNumberRefersToTheLatestListBeforeTheEvent() throws IOException {
        play(
                "CLOCK 9000000 1\n"
                        + HELLO
                        + "SHEET 0 1\nROW 11 a k 0 Ready 1 -\nTARGETS 3 SAVED 1 0\n"
                        + "SHEET 0 1\nROW 22 a k 0 Ready 1 -\nTARGETS 3 INCREMENTAL 2 0\n"
                        + "JOINED 3 1 a 4 2.5\nOVER_TO_YOU\n");
        assertThat(out.toString(StandardCharsets.UTF_8))
                .contains(
                        "WEIGH 3 0 11 0.5\n",
                        "WEIGH 3 0 22 0.5\n",
                        "ATTACH_TABLE 3 1 0 4\n",
                        "NOTIFY_ME 3 100000 round\n")
                .endsWith("ACK 1\n");
    }

    /**
     * Class masks had 32 bits, so that the mask of class 32 was that of class 0. The protocol does
     * not limit the number of classes.
     */
    @Test
    void classNumbersFrom32OnHaveTheirOwnMaskBit() throws IOException {
        StringBuilder hello =
                new StringBuilder(
                        "HELLO 3 7 dcs=a domain.backlog=9000.0 domain.channel_rate=5000"
                                + " classes.count=70");
        for (int number = 0; number < 70; number++) {
            hello.append(" classes.").append(number).append(".name=class-").append(number);
        }
        play(
                "CLOCK 9000000 1\n"
                        + hello
                        + "\nSHEET 0 1\nROW 11 a k 0 Ready 1 -\nTARGETS 3 FULL 1 0\n"
                        + "JOINED 3 1 a 4 70\nOVER_TO_YOU\n");
        String[] masks =
                out.toString(StandardCharsets.UTF_8)
                        .lines()
                        .filter(line -> line.startsWith("ATTACH_TABLE"))
                        .map(line -> line.split(" ")[2])
                        .toArray(String[]::new);
        assertThat(masks)
                .hasSize(70)
                .doesNotHaveDuplicates()
                .contains("1", "4294967296", "590295810358705651712");
    }

    @Test
    void duplicateClassNameEndsTheRunWithStatusOne() throws IOException {
        assertThat(
                        play(
                                "CLOCK 9000000 1\n"
                                        + HELLO.replace("count=1", "count=2 classes.1.name=search")
                                        + "OVER_TO_YOU\n"))
                .isEqualTo(1);
        assertThat(out.size()).isZero();
    }

    @Test
    void malformedLineEndsTheRunWithStatusOne() throws IOException {
        assertThat(play("CLOCK 9000000 1\n" + HELLO + "LEFT 3 x\nOVER_TO_YOU\n")).isEqualTo(1);
        assertThat(out.size()).isZero();
    }

    @Test
    void eventsOfAControllerThatIsNotRunningAreSkipped() throws IOException {
        assertThat(
                        play(
                                "CLOCK 9000000 1\nLEFT 3 x\nTIMER 3 round\nOVER_TO_YOU\n"
                                        + "CLOCK 9100000 2\n"
                                        + HELLO
                                        + "EXIT 3\nUNKNOWN 3\nOVER_TO_YOU\n"))
                .isZero();
        assertThat(out.toString(StandardCharsets.UTF_8)).isEqualTo("ACK 1\nACK 2\n");
    }

    @Test
    void subscribesToDiscoveryAtTheStartAndAfterAFailure() throws IOException {
        play(
                "CLOCK 9000000 1\n"
                        + HELLO.replace("\n", " discovery=subscribe\n")
                        + "OVER_TO_YOU\nCLOCK 9000100 2\nTARGETS 3 FAILED 0 0\nOVER_TO_YOU\n");
        assertThat(out.toString(StandardCharsets.UTF_8).lines())
                .filteredOn(line -> line.startsWith("TRACK"))
                .containsExactly("TRACK 3 1", "TRACK 3 1");
    }
}
