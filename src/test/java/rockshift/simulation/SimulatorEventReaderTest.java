package rockshift.simulation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rockshift.model.Endpoint;
import rockshift.simulation.SimulatorEvent.ControllerStopped;
import rockshift.simulation.SimulatorEvent.DiscoveryFailed;
import rockshift.simulation.SimulatorEvent.EndpointsListed;
import rockshift.simulation.SimulatorEvent.Ignored;
import rockshift.simulation.SimulatorEvent.MessagesAcknowledged;
import rockshift.simulation.SimulatorEvent.ProxyJoined;
import rockshift.simulation.SimulatorEvent.ProxyLeft;
import rockshift.simulation.SimulatorEvent.ReplicaReported;
import rockshift.simulation.SimulatorEvent.TimerFired;
import rockshift.simulation.SimulatorEvent.UsageReported;
import rockshift.simulation.SimulatorEventReader.BatchHeader;

class SimulatorEventReaderTest {
    /** Reads the events of a batch with these lines. */
    private static List<SimulatorEvent> events(String... lines) throws IOException {
        String batch = String.join("\n", lines) + "\nOVER_TO_YOU\n";
        SimulatorEventReader reader =
                new SimulatorEventReader(new BufferedReader(new StringReader(batch)));
        List<SimulatorEvent> events = new ArrayList<>();
        reader.readEvents(
                envelope -> {
                    assertThat(envelope.controllerId()).isEqualTo(3);
                    events.add(reader.parse(envelope));
                });
        return events;
    }

    @Test
    void readsBatchHeadersUntilTheEndOfTheInput() throws IOException {
        SimulatorEventReader reader =
                new SimulatorEventReader(
                        new BufferedReader(new StringReader("CLOCK 8412250 1\nOVER_TO_YOU\n")));
        assertThat(reader.nextBatch()).contains(new BatchHeader(84_122, 1));
        List<SimulatorEventReader.Envelope> events = new ArrayList<>();
        reader.readEvents(events::add);
        assertThat(events).isEmpty();
        assertThat(reader.nextBatch()).isEmpty();
    }

    @Test
    void parsesEachKindOfEventWithTimesInTicks() throws IOException {
        assertThat(
                        events(
                                "JOINED 3 1 hall-a 41 6.5",
                                "HEARD 3 48250 hall-a 51530247 1 14 1000000 queue:3,util:0.62",
                                "PROXY_STATS 3 0 41 subset 2000000 9",
                                "CAUGHT_UP 3 12 41 900",
                                "TIMER 3 sweep",
                                "LEFT 3 41",
                                "EXIT 3"))
                .containsExactly(
                        new ProxyJoined(41, "hall-a", 6.5, false),
                        new ReplicaReported("hall-a", 51_530_247, 14, 1, 482, 10_000, 0.62),
                        new UsageReported(41, "subset", 9, 0, 20_000),
                        new MessagesAcknowledged(41, 12),
                        new TimerFired(),
                        new ProxyLeft(41),
                        new ControllerStopped());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " -", " queue:3"})
    void reportWithoutUtilizationMetricHasNullUtilization(String metrics) throws IOException {
        assertThat(events("HEARD 3 0 hall-a 7 1 1 1000000" + metrics))
                .containsExactly(new ReplicaReported("hall-a", 7, 1, 1, 0, 10_000, null));
    }

    @Test
    void parsesEndpointListsWithHealthAndStartTime() throws IOException {
        Endpoint longRunning =
                new Endpoint(51_530_247, "hall-a", "one-core", Endpoint.Health.READY, 0);
        Endpoint draining =
                new Endpoint(747_639_282, "hall-b", "one-core", Endpoint.Health.DRAINING, 61_000);
        assertThat(
                        events(
                                "SHEET 0 2",
                                "ROW 51530247 hall-a one-core 0 Ready 1 -",
                                "ROW 747639282 hall-b one-core 0 Terminating 1.5 6100000",
                                "TARGETS 3 SAVED 41 0",
                                "TARGETS 3 INCREMENTAL 42 0",
                                "TARGETS 3 FAILED 42 -"))
                .containsExactly(
                        new EndpointsListed(List.of(longRunning, draining), false),
                        new EndpointsListed(List.of(longRunning, draining), true),
                        new DiscoveryFailed());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "PING_RESULT 3 7 S 100",
                "INBOX 3 1 68692037",
                "SLICE_LOAD 3 1 subset 1 0 1000000",
                "GIVEN 3 1 1",
                "STANDING_LINE 3 1 7 0.5"
            })
    void ignoresEventsThatThePlannerDoesNotUse(String line) throws IOException {
        assertThat(events(line)).containsExactly(new Ignored());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "LEFT 3|a proxy id",
                "LEFT 3 x|a proxy id as a whole number, got 'x'",
                "LEFT 3 4294967296|a proxy id as a 32-bit number, got 4294967296",
                "JOINED 3 1 a 4 many|the proxy's request rate as a number, got 'many'",
                "HEARD 3 0 a 7 1 1 0 util=1|a load report as name:value pairs",
                "TARGETS 3 FULL 1 0|a SHEET with that number before it",
                "SHEET 0 1 / LEFT 3 1|a ROW",
                "SHEET 0 1 / ROW 7 a k 0 Sick 1 -|Ready, Terminating or Gone",
                "SURPRISE 3|the name of an event"
            })
    void rejectsMalformedLinesAndSaysWhatWasExpected(String lines, String expected) {
        assertThatThrownBy(() -> events(lines.split(" / ")))
                .isInstanceOf(MalformedLineException.class)
                .hasMessageEndingWith(": expected " + expected);
    }

    @Test
    void rejectsInputThatEndsWithinABatch() {
        SimulatorEventReader reader =
                new SimulatorEventReader(new BufferedReader(new StringReader("TIMER 3 x\n")));
        assertThatThrownBy(() -> reader.readEvents(envelope -> {}))
                .hasMessage("malformed line 'end of input': expected OVER_TO_YOU");
    }
}
