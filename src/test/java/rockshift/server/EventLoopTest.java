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

/** The event loop, with turns that are run by a test. */
class EventLoopTest extends ControllerFixture {
    private static final PlannerSettings SETTINGS =
            PlannerSettings.newBuilder()
                    .zones(List.of("east"))
                    .expectedProxies(2)
                    .classes(List.of(ClassSettings.named("cut").build()))
                    .build();

    private final EventLoop loop = new EventLoop(7, SETTINGS);

    private void join(int proxy, ProxyChannel channel) {
        PlannerEvent joined =
                new PlannerEvent.ProxyJoined(new ProxyJoin(proxy, "east", 1, false), channel);
        assertThat(loop.offer(new AtomicInteger(), joined)).isTrue();
    }

    /** A failing turn is logged each time, and the next turn still processes its events. */
    @Test
    void failingTurnIsLoggedAndTheNextTurnProcessesEvents() {
        Endpoint replica = new Endpoint(1, "east", "plain", Endpoint.Health.READY, 0);
        loop.submitEndpoints(new EndpointList(1, true, List.of(replica), Map.of(1L, "s-1")));
        ProxyChannel failing =
                message -> {
                    throw new IllegalStateException("injected by the test");
                };
        join(1, failing);
        loop.turn();
        join(1, failing);
        loop.turn();
        assertThat(errorOutput.toString(StandardCharsets.UTF_8).lines())
                .filteredOn(line -> line.contains("planner step failed"))
                .hasSize(2);
        List<String> received = new ArrayList<>();
        join(1, message -> received.add(new String(message, StandardCharsets.UTF_8)));
        loop.turn();
        assertThat(received).anyMatch(message -> message.contains("s-1"));
    }
}
