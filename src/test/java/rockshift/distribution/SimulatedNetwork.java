package rockshift.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Time, hosts and connections of a simulated world. A connection keeps the order; what is sent into
 * a cut waits until it heals, as retransmissions would have it; what comes to a paused host waits
 * until it wakes.
 */
final class SimulatedNetwork {
    private static final int MAX_DELAY_MILLIS = 20;

    /** The end of a connection that opened it. */
    interface Client {
        void connected(long now);

        void disconnected(long now);

        void received(DistributionMessage message, long now);
    }

    /** The end of connections that takes them. */
    interface Server {
        void connected(long connection, long now);

        void disconnected(long connection, long now);

        void received(long connection, DistributionMessage message, long now);
    }

    /** Changes messages on their way, for faults that are planted. */
    interface Interceptor {
        DistributionMessage pass(Host from, Host to, DistributionMessage message);
    }

    /** A process: it can stop for a while, end and begin anew. */
    static final class Host {
        final String name;
        private final List<Runnable> backlog = new ArrayList<>();
        private boolean paused;
        private boolean up = true;

        Host(String name) {
            this.name = name;
        }

        boolean running() {
            return up && !paused;
        }

        @Override
        public String toString() {
            return name;
        }
    }

    /** One connection. */
    static final class Link {
        final long id;
        final Host client;
        final Host server;
        private final Client clientEnd;
        private final Server serverEnd;
        private boolean closedAtClient;
        private boolean closedAtServer;
        private long lastUp;
        private long lastDown;
        private int waitingDown;

        Link(long id, Host client, Client clientEnd, Host server, Server serverEnd) {
            this.id = id;
            this.client = client;
            this.clientEnd = clientEnd;
            this.server = server;
            this.serverEnd = serverEnd;
        }

        /** Messages on their way to the client that it has not read. */
        int waitingDown() {
            return waitingDown;
        }
    }

    private record Event(long at, long order, Runnable action) {}

    private record Path(Host from, Host to) {}

    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Map<Long, Link> links = new LinkedHashMap<>();
    private final Map<Path, Long> partitionedUntil = new HashMap<>();
    private Interceptor interceptor = (from, to, message) -> message;
    private long now;
    private long orders;
    private long connections;

    SimulatedNetwork(Random random) {
        this.random = random;
    }

    long now() {
        return now;
    }

    void interceptWith(Interceptor with) {
        interceptor = with;
    }

    void after(long millis, Runnable action) {
        events.add(new Event(now + millis, orders++, action));
    }

    /** Has a process do something later; while it is paused that waits. */
    void after(long millis, Host host, Runnable action) {
        at(now + millis, host, action);
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = end;
    }

    Link connect(Host client, Client clientEnd, Host server, Server serverEnd) {
        Link link = new Link(++connections, client, clientEnd, server, serverEnd);
        links.put(link.id, link);
        link.lastUp = arrival(client, server, 0);
        at(link.lastUp, server, () -> accept(link));
        return link;
    }

    Link link(long id) {
        return links.get(id);
    }

    void sendUp(Link link, DistributionMessage message) {
        if (link.closedAtClient) {
            return;
        }
        DistributionMessage passed = interceptor.pass(link.client, link.server, message);
        link.lastUp = arrival(link.client, link.server, link.lastUp);
        at(
                link.lastUp,
                link.server,
                () -> {
                    if (!link.closedAtServer) {
                        link.serverEnd.received(link.id, passed, now);
                    }
                });
    }

    void sendDown(Link link, DistributionMessage message) {
        if (link.closedAtServer) {
            return;
        }
        DistributionMessage passed = interceptor.pass(link.server, link.client, message);
        link.lastDown = arrival(link.server, link.client, link.lastDown);
        link.waitingDown++;
        at(
                link.lastDown,
                link.client,
                () -> {
                    link.waitingDown--;
                    if (!link.closedAtClient) {
                        link.clientEnd.received(passed, now);
                    }
                });
    }

    void closeAtClient(Link link) {
        if (!link.closedAtClient) {
            link.closedAtClient = true;
            link.lastUp = arrival(link.client, link.server, link.lastUp);
            at(link.lastUp, link.server, () -> endAtServer(link));
        }
    }

    void closeAtServer(Link link) {
        if (!link.closedAtServer) {
            link.closedAtServer = true;
            link.lastDown = arrival(link.server, link.client, link.lastDown);
            at(link.lastDown, link.client, () -> endAtClient(link));
        }
    }

    /** Breaks a connection for both ends. */
    void breakLink(Link link) {
        at(now, link.client, () -> endAtClient(link));
        at(now, link.server, () -> endAtServer(link));
    }

    List<Link> openLinks() {
        links.values().removeIf(link -> link.closedAtClient && link.closedAtServer);
        return new ArrayList<>(links.values());
    }

    /** What one host sends to another waits until then. */
    void partition(Host from, Host to, long until) {
        partitionedUntil.merge(new Path(from, to), until, Math::max);
    }

    void pause(Host host) {
        host.paused = true;
    }

    void wake(Host host) {
        host.paused = false;
        List<Runnable> waiting = new ArrayList<>(host.backlog);
        host.backlog.clear();
        waiting.forEach(Runnable::run);
    }

    /** Ends a process; its connections end, which the others learn. */
    void stop(Host host) {
        host.up = false;
        host.paused = false;
        host.backlog.clear();
        for (Link link : openLinks()) {
            if (link.client == host) {
                closeAtClient(link);
            } else if (link.server == host) {
                closeAtServer(link);
            }
        }
    }

    void start(Host host) {
        host.up = true;
    }

    private void accept(Link link) {
        if (link.closedAtClient || link.closedAtServer) {
            return;
        }
        link.serverEnd.connected(link.id, now);
        link.lastDown = arrival(link.server, link.client, 0);
        at(
                link.lastDown,
                link.client,
                () -> {
                    if (!link.closedAtClient) {
                        link.clientEnd.connected(now);
                    }
                });
    }

    private void endAtClient(Link link) {
        if (!link.closedAtClient) {
            link.closedAtClient = true;
            link.clientEnd.disconnected(now);
        }
    }

    private void endAtServer(Link link) {
        if (!link.closedAtServer) {
            link.closedAtServer = true;
            link.serverEnd.disconnected(link.id, now);
        }
    }

    private long arrival(Host from, Host to, long earliest) {
        long until = Math.max(now, partitionedUntil.getOrDefault(new Path(from, to), 0L));
        return Math.max(earliest, until + 1 + random.nextInt(MAX_DELAY_MILLIS));
    }

    private void at(long time, Host host, Runnable action) {
        events.add(
                new Event(
                        time,
                        orders++,
                        () -> {
                            if (host.paused) {
                                host.backlog.add(action);
                            } else if (host.up) {
                                action.run();
                            }
                        }));
    }
}
