package rockshift.simulation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import rockshift.model.ClassSet;

class SimulatorReplyTest {
    private final SimulatorReply reply = new SimulatorReply();

    private String text() {
        return new String(reply.toBytes(), StandardCharsets.UTF_8);
    }

    @Test
    void writesEachActionAsOneLine() {
        reply.subscribeToDiscovery(3);
        reply.setTableEntry(3, 117, 747_639_282, 0.75);
        reply.setDraining(3, 51_530_247, true);
        reply.setDraining(3, 51_530_247, false);
        reply.bindProxy(3, 117, 41, ClassSet.all());
        reply.setAdmissionLevel(3, 117, ClassSet.of(1), 0.75, 1);
        reply.requestAcknowledgement(3, 12);
        reply.wakeAfter(3, 5_000);
        reply.log(3, "ejected replica=1");
        reply.acknowledgeBatch(7);
        assertThat(text())
                .isEqualTo(
                        "TRACK 3 1\n"
                                + "WEIGH 3 117 747639282 0.75\n"
                                + "MASK 3 51530247 1\n"
                                + "MASK 3 51530247 0\n"
                                + "ATTACH_TABLE 3 0 117 41\n"
                                + "ALLOW 3 117 2 0.75 1\n"
                                + "STAMP 3 0 12\n"
                                + "NOTIFY_ME 3 500000 round\n"
                                + "RECORD 3 ejected replica=1\n"
                                + "ACK 7\n");
    }

    /**
     * If the message of a failure has two lines, the simulator would read the second as an unknown
     * action.
     */
    @Test
    void writesAnInternalErrorOnOneLine() {
        reply.internalError(3, new IllegalStateException("first\nsecond"));
        assertThat(text())
                .isEqualTo("INTERNAL_ERROR 3 java.lang.IllegalStateException: first second\n");
    }

    @Test
    void rejectsTableNumbersOutOfRangeAndEmptyClassSets() {
        assertThat(SimulatorReply.tableNumber(65_534)).isEqualTo(65_534);
        assertThatThrownBy(() -> SimulatorReply.tableNumber(65_535))
                .hasMessage("table number out of range: must be below 65535, got 65535");
        assertThatThrownBy(() -> SimulatorReply.classMask(ClassSet.of()))
                .hasMessageContaining("empty class set");
        assertThat(SimulatorReply.classMask(ClassSet.all())).isZero();
    }
}
