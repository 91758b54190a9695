package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Propagation of discovery's list to the tables of proxies. */
class ControllerDiscoveryTest extends ControllerFixture {
    @Test
    void wholeListIsFollowedByWatchesOfNewerVersions() throws Exception {
        Peer proxy = proxy(startController(), 3);
        proxy.receive("ticket", "");
        discovery.enqueue(list(41, true, entry("s-1", "Ready", 0), entry("s-3", "Ready", 0)));
        assertThat(proxy.receive("lines", "s-2:0.0").get("lines"))
                .as("entries when s-2 is no longer listed")
                .contains("s-3:");
        discovery.enqueue(list(43, false, entry("s-1", "Gone", 0)));
        proxy.receive("lines", "s-1:0.0");
        discovery.enqueue(list(43, false));
        discovery.enqueue(list(44, false));
        await("a third watch", () -> discovery.calls.size() == 4);
        assertThat(discovery.calls)
                .containsExactly(
                        "GET /discovery/hosts HTTP/1.1",
                        "GET /discovery/hosts?index=41&wait=1000 HTTP/1.1",
                        "GET /discovery/hosts?index=43&wait=1000 HTTP/1.1",
                        "GET /discovery/hosts?index=44&wait=1000 HTTP/1.1");
    }

    /** A silent watch hid a release for 22 s, while the grace of the draining replicas was 3 s. */
    @Test
    void silentWatchIsRetriedWithinTheDrainGrace() throws Exception {
        Peer proxy = proxy(startController(), 3);
        proxy.receive("ticket", "");
        discovery.enqueue(list(41, true, entry("s-1", "Ready", 0), entry("s-2", "Ready", 0)));
        discovery.answers.add(FakeDiscovery.NO_ANSWER);
        await("the unanswered watch call", () -> discovery.calls.size() == 2);
        long since = System.nanoTime();
        discovery.enqueue(list(42, false, entry("s-1", "Terminating", 0)));
        proxy.receive("lines", "s-1:0.0");
        assertThat(System.nanoTime() - since).isLessThan(TimeUnit.SECONDS.toNanos(3));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                "nonsense",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"half",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"a\":1,,}",
                "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\n\r\nhalf"
            })
    void unreadableAnswerKeepsTheListAndIsRetried(String answer) throws Exception {
        Peer proxy = proxy(startController(), 3);
        proxy.receive("ticket", "");
        discovery.answers.add(answer);
        awaitLog("discovery call failed ");
        discovery.enqueue(
                list(
                        41,
                        true,
                        entry("s-1", "Ready", 0),
                        entry("s-2", "Ready", 0),
                        entry("s-3", "Ready", 0)));
        assertThat(proxy.receive("lines", "s-3:").get("lines"))
                .as("entries after the failed call: none removed")
                .doesNotContain(":0.0,");
    }
}
