package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Random steps of the connections of four proxies, beside a plain model of which connection is each
 * proxy's: the last that joined, unless it ended.
 */
final class RandomConnectionHistory {
    private static final int PROXIES = 4;
    private static final int STEPS = 7;

    private final Random random;
    private final ProxyConnections connections;
    private final EventLoop loop;
    private final List<FakeConnection> created = new ArrayList<>();

    /** By connection, the proxy that joined on it. */
    private final List<Integer> proxies = new ArrayList<>();

    /** By proxy, its connection by the model, or null. */
    private final FakeConnection[] expected = new FakeConnection[PROXIES];

    RandomConnectionHistory(long seed, ProxyConnections connections, EventLoop loop) {
        random = new Random(seed);
        this.connections = connections;
        this.loop = loop;
    }

    /** Takes one step: a join, an end, a message, or a turn of the event loop. */
    void step() throws Exception {
        FakeConnection connection =
                created.isEmpty() ? null : created.get(random.nextInt(created.size()));
        int step = random.nextInt(STEPS);
        if (step <= 1) {
            join();
        } else if (step == 6) {
            loop.turn();
        } else if (connection != null) {
            act(step, connection);
        }
    }

    private void join() throws Exception {
        int proxy = random.nextInt(PROXIES);
        FakeConnection connection =
                new FakeConnection(connections).receive(ProxyConnectionTest.joinMessage(proxy));
        created.add(connection);
        proxies.add(proxy);
        expected[proxy] = connection;
    }

    private void act(int step, FakeConnection connection) throws Exception {
        if (step == 2) {
            connection.disconnect();
            ended(connection);
        } else if (step == 3) {
            int proxy = proxies.get(created.indexOf(connection));
            String acknowledgement =
                    "applied sidecar " + proxy + " version " + random.nextInt(9) + " lag_ms 1";
            connection.receive(acknowledgement, "later", "usage sidecar x");
        } else if (step == 4 && !connection.isClosed()) {
            connection.receiveBytes("nonsense\r\n");
            ended(connection);
        } else if (step == 5 && connection.isClosed()) {
            connection.cancelKey();
        }
    }

    private void ended(FakeConnection connection) {
        for (int i = 0; i < PROXIES; i++) {
            expected[i] = expected[i] == connection ? null : expected[i];
        }
    }

    /** The reactor reports the end of all connections that the controller has closed. */
    void reportCloses() throws Exception {
        for (FakeConnection connection : created) {
            if (connection.isClosed()) {
                connection.disconnect();
            }
        }
    }

    /** That exactly each proxy's connection by the model is open and was sent a text. */
    void assertSentOnExpectedConnectionsOnly(String text) throws Exception {
        for (int i = 0; i < created.size(); i++) {
            FakeConnection connection = created.get(i);
            boolean isExpected = expected[proxies.get(i)] == connection;
            assertThat(connection.sent().contains(text))
                    .as("connection " + i + " of proxy " + proxies.get(i))
                    .isEqualTo(isExpected);
            assertThat(connection.isClosed())
                    .as("only the newest connection of a proxy is open")
                    .isNotEqualTo(isExpected);
        }
    }
}
