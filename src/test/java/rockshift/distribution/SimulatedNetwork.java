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
 * The clock, hosts and connections of a simulation. A connection preserves order. Messages sent
 * into a partition are delayed until it ends, as if retransmitted; messages to a paused host are
 * delayed until it resumes.
 */
final class SimulatedNetwork {
    private static final int MAX_DELAY_MILLIS = 20;

    /** The client side of a connection, which opened it. */
    interface Client {
        void connected(long now);

        void disconnected(long now);

        void received(DistributionMessage message, long now);
    }

    /** The server side of connections, which accepts them. */
    interface Server {
        void connected(long connection, long now);

        void disconnected(long connection, long now);

        void received(long connection, DistributionMessage message, long now);
    }

    /** Replaces messages in transit, to inject faults. */
    interface Interceptor {
        DistributionMessage intercept(Host from, Host to, DistributionMessage message);
    }

    /** A process that can be paused, stopped and restarted. */
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

    static final class Link {
        final long id;
        final Host client;
        final Host server;
        private final Client clientEnd;
        private final Server serverEnd;
        private boolean closedAtClient;
        private boolean closedAtServer;
        private long lastUpstreamArrival;
        private long lastDownstreamArrival;
        private int unreadByClient;

        Link(long id, Host client, Client clientEnd, Host server, Server serverEnd) {
            this.id = id;
            this.client = client;
            this.clientEnd = clientEnd;
            this.server = server;
            this.serverEnd = serverEnd;
        }

        /** Returns the number of messages sent to the client that it has not received. */
        int unreadByClient() {
            return unreadByClient;
        }
    }

    private record Event(long at, long sequence, Runnable action) {}

    private record Path(Host from, Host to) {}

    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private final Map<Long, Link> links = new LinkedHashMap<>();
    private final Map<Path, Long> partitionedUntil = new HashMap<>();
    private Interceptor interceptor = (from, to, message) -> message;
    private long now;
    private long nextSequence;
    private long connections;

    SimulatedNetwork(Random random) {
        this.random = random;
    }

    long now() {
        return now;
    }

    void interceptWith(Interceptor newInterceptor) {
        interceptor = newInterceptor;
    }

    void after(long millis, Runnable action) {
        events.add(new Event(now + millis, nextSequence++, action));
    }

    /** Schedules an action of a process; while the process is paused the action is delayed. */
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
        link.lastUpstreamArrival = arrival(client, server, 0);
        at(link.lastUpstreamArrival, server, () -> accept(link));
        return link;
    }

    Link link(long id) {
        return links.get(id);
    }

    void sendUpstream(Link link, DistributionMessage message) {
        if (link.closedAtClient) {
            return;
        }
        DistributionMessage intercepted = interceptor.intercept(link.client, link.server, message);
        link.lastUpstreamArrival = arrival(link.client, link.server, link.lastUpstreamArrival);
        at(
                link.lastUpstreamArrival,
                link.server,
                () -> {
                    if (!link.closedAtServer) {
                        link.serverEnd.received(link.id, intercepted, now);
                    }
                });
    }

    void sendDownstream(Link link, DistributionMessage message) {
        if (link.closedAtServer) {
            return;
        }
        DistributionMessage intercepted = interceptor.intercept(link.server, link.client, message);
        link.lastDownstreamArrival = arrival(link.server, link.client, link.lastDownstreamArrival);
        link.unreadByClient++;
        at(
                link.lastDownstreamArrival,
                link.client,
                () -> {
                    link.unreadByClient--;
                    if (!link.closedAtClient) {
                        link.clientEnd.received(intercepted, now);
                    }
                });
    }

    void closeAtClient(Link link) {
        if (!link.closedAtClient) {
            link.closedAtClient = true;
            link.lastUpstreamArrival = arrival(link.client, link.server, link.lastUpstreamArrival);
            at(link.lastUpstreamArrival, link.server, () -> endAtServer(link));
        }
    }

    void closeAtServer(Link link) {
        if (!link.closedAtServer) {
            link.closedAtServer = true;
            link.lastDownstreamArrival =
                    arrival(link.server, link.client, link.lastDownstreamArrival);
            at(link.lastDownstreamArrival, link.client, () -> endAtClient(link));
        }
    }

    /** Breaks a connection at both ends. */
    void breakLink(Link link) {
        at(now, link.client, () -> endAtClient(link));
        at(now, link.server, () -> endAtServer(link));
    }

    List<Link> openLinks() {
        links.values().removeIf(link -> link.closedAtClient && link.closedAtServer);
        return new ArrayList<>(links.values());
    }

    /** Delays what one host sends to another until the given time. */
    void partition(Host from, Host to, long until) {
        partitionedUntil.merge(new Path(from, to), until, Math::max);
    }

    void pause(Host host) {
        host.paused = true;
    }

    void resume(Host host) {
        host.paused = false;
        List<Runnable> waiting = new ArrayList<>(host.backlog);
        host.backlog.clear();
        waiting.forEach(Runnable::run);
    }

    /** Stops a process and closes its connections; the peers are notified. */
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
        link.lastDownstreamArrival = arrival(link.server, link.client, 0);
        at(
                link.lastDownstreamArrival,
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
                        nextSequence++,
                        () -> {
                            if (host.paused) {
                                host.backlog.add(action);
                            } else if (host.up) {
                                action.run();
                            }
                        }));
    }
}
