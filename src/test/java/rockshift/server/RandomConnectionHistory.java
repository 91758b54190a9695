package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Random steps of the connections of four proxies, with a simple model of each proxy's current
 * connection: the last on which it joined, unless that one has ended.
 */
final class RandomConnectionHistory {
    private static final int PROXIES = 4;
    private static final int STEPS = 7;

    private final Random random;
    private final ProxyConnections connections;
    private final EventLoop loop;
    private final List<FakeConnection> created = new ArrayList<>();

    /** The proxy that joined on each connection, by the connection's index. */
    private final List<Integer> proxies = new ArrayList<>();

    /** The current connection of each proxy in the model, or null. */
    private final FakeConnection[] expected = new FakeConnection[PROXIES];

    RandomConnectionHistory(long seed, ProxyConnections connections, EventLoop loop) {
        random = new Random(seed);
        this.connections = connections;
        this.loop = loop;
    }

    /** Executes one random step: a join, an end, a message, or a turn of the event loop. */
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

    /** Reports the end of all connections that the controller has closed, as the reactor does. */
    void reportCloses() throws Exception {
        for (FakeConnection connection : created) {
            if (connection.isClosed()) {
                connection.disconnect();
            }
        }
    }

    /** Asserts that exactly the connections of the model are open and were sent a text. */
    void assertSentOnExpectedConnectionsOnly(String text) throws Exception {
        for (int i = 0; i < created.size(); i++) {
            FakeConnection connection = created.get(i);
            boolean isExpected = expected[proxies.get(i)] == connection;
            assertThat(connection.sent().contains(text))
                    .as("connection " + i + " of proxy " + proxies.get(i))
                    .isEqualTo(isExpected);
            assertThat(connection.isClosed())
                    .as("connection " + i + " of proxy " + proxies.get(i) + " is closed")
                    .isNotEqualTo(isExpected);
        }
    }
}
