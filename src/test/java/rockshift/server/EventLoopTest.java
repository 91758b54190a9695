package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import rockshift.model.Endpoint;
import rockshift.settings.ClassSettings;
import rockshift.settings.PlannerSettings;

/** The planner's thread, taken through its turns by hand. */
class EventLoopTest extends ControllerFixture {
    private static final PlannerSettings SETTINGS =
            PlannerSettings.newBuilder()
                    .zones(List.of("east"))
                    .expectedProxies(2)
                    .classes(List.of(ClassSettings.named("cut").build()))
                    .build();

    private final EventLoop loop = new EventLoop(7, SETTINGS);

    private void join(int proxy, PublishedTables.Stream stream) {
        assertThat(loop.joined(new AtomicInteger(), proxy, "east", 1, stream)).isTrue();
    }

    /** A planning round that fails is logged each time, and the next one takes in what comes. */
    @Test
    void aRoundThatFailsIsLoggedEachTimeAndEndsNothing() {
        Endpoint replica = new Endpoint(1, "east", "plain", Endpoint.Health.READY, 0);
        loop.listed(List.of(replica), false, Map.of(1L, "s-1"));
        PublishedTables.Stream failing =
                message -> {
                    throw new IllegalStateException("put in by a test");
                };
        join(1, failing);
        loop.turn();
        join(1, failing);
        loop.turn();
        assertThat(logged.toString(StandardCharsets.UTF_8).lines())
                .filteredOn(line -> line.contains("failure in the module"))
                .hasSize(2);
        List<String> received = new ArrayList<>();
        join(1, message -> received.add(new String(message, StandardCharsets.UTF_8)));
        loop.turn();
        assertThat(received).anyMatch(message -> message.contains("s-1"));
    }
}
