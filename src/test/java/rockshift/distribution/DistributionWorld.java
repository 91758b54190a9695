package rockshift.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A simulated world: members that are fed what was agreed, relays below them, governors below
 * those, all on one simulated network, with a checker that looks at everything shown, sent and
 * claimed. One seed, one run.
 */
final class DistributionWorld {
    private static final long TICK_MILLIS = 50;
    private static final long FEED_MILLIS = 100;
    private static final int MOST_FEED_DELAY_MILLIS = 30;

    /** How many of each there are. */
    record Size(int members, int relays, int governors) {}

    /** Changes what a governor's host is handed, for faults that are planted there. */
    interface HandOver {
        void snapshot(Governor governor, Revision revision, List<Item> items);

        void difference(Governor governor, Revision revision, List<Update> updates);
    }

    final SimulatedNetwork network;
    final AgreedHistory history = new AgreedHistory();
    final DistributionChecker checker;
    final List<Member> members = new ArrayList<>();
    final List<RelayNode> relays = new ArrayList<>();
    final List<Governor> governors = new ArrayList<>();
    private final long seed;
    private final Limits limits;
    private final Random random;
    private HandOver handOver =
            new HandOver() {
                @Override
                public void snapshot(Governor governor, Revision revision, List<Item> items) {
                    governor.takeSnapshot(revision, items);
                }

                @Override
                public void difference(Governor governor, Revision revision, List<Update> updates) {
                    governor.takeDifference(revision, updates);
                }
            };

    DistributionWorld(long seed, Size size, Limits limits, Limits checked) {
        this.seed = seed;
        this.limits = limits;
        this.random = new Random(seed);
        this.network = new SimulatedNetwork(new Random(seed + 1));
        this.checker = new DistributionChecker(this, checked);
        for (int index = 0; index < size.members(); index++) {
            members.add(new Member("m" + index));
        }
        for (int index = 0; index < size.relays(); index++) {
            relays.add(new RelayNode("r" + index));
        }
        for (int index = 0; index < size.governors(); index++) {
            governors.add(new Governor("g" + index, anyScope()));
        }
        members.forEach(Member::begin);
        relays.forEach(RelayNode::begin);
        governors.forEach(Governor::begin);
    }

    DistributionWorld(long seed, Size size, Limits limits) {
        this(seed, size, limits, limits);
    }

    Random random() {
        return random;
    }

    long now() {
        return network.now();
    }

    void run(long millis) {
        network.runUntil(network.now() + millis);
    }

    void handOver(HandOver with) {
        handOver = with;
    }

    Roster roster() {
        return Roster.of(governors.stream().map(governor -> governor.host.name).toList());
    }

    /** Agrees on one more revision with a random change. */
    void commit() {
        String key = "k" + random.nextInt(30);
        if (random.nextInt(5) == 0) {
            history.delete(now(), key);
        } else {
            history.put(now(), anyItem(key));
        }
    }

    Item anyItem(String key) {
        String service = random.nextInt(6) == 0 ? "" : "s" + random.nextInt(4);
        String zone = random.nextInt(3) == 0 ? "" : "z" + random.nextInt(3);
        return ConfigurationStoreTest.item(key, service, zone, "v" + random.nextInt(1_000));
    }

    Scope anyScope() {
        return switch (random.nextInt(5)) {
            case 0 -> Scope.all();
            case 1 -> Scope.of(List.of(), List.of("z" + random.nextInt(3)));
            case 2 -> Scope.of(List.of("s" + random.nextInt(4)), List.of("z" + random.nextInt(3)));
            default ->
                    Scope.of(List.of("s" + random.nextInt(4), "s" + random.nextInt(4)), List.of());
        };
    }

    /** Pauses a process for a while. */
    void pause(SimulatedNetwork.Host host, long millis) {
        if (host.running()) {
            network.pause(host);
            network.after(millis, () -> network.wake(host));
        }
    }

    private SplittableRandom chance() {
        return new SplittableRandom(random.nextLong());
    }

    private void tick(SimulatedNetwork.Host host, Runnable action) {
        network.after(1 + random.nextInt((int) TICK_MILLIS), () -> repeat(host, action));
    }

    private void repeat(SimulatedNetwork.Host host, Runnable action) {
        if (host.running()) {
            action.run();
        }
        network.after(TICK_MILLIS, () -> repeat(host, action));
    }

    @Override
    public String toString() {
        return "seed " + seed + " at " + now() + " ms";
    }

    /** What members and relays have in common: a publisher on the network. */
    abstract class ServerNode implements SimulatedNetwork.Server, Publisher.Transport {
        final SimulatedNetwork.Host host;

        ServerNode(String name) {
            this.host = new SimulatedNetwork.Host(name);
        }

        abstract Publisher publisher();

        abstract ConfigurationStore store();

        @Override
        public void send(long connection, DistributionMessage message) {
            SimulatedNetwork.Link link = network.link(connection);
            if (link != null) {
                network.sendDown(link, message);
                checker.sent(link, message);
            }
        }

        @Override
        public void close(long connection, RejectionReason why, String place) {
            SimulatedNetwork.Link link = network.link(connection);
            if (link != null) {
                network.closeAtServer(link);
            }
        }
    }

    /**
     * A member: fed with what was agreed, in order and with delay, while it is not cut off from the
     * others.
     */
    final class Member extends ServerNode {
        private ConfigurationStore store;
        private Publisher publisher;
        private long feedCutUntil;
        private long lastFeed;

        Member(String name) {
            super(name);
        }

        private void begin() {
            restart();
            tick(
                    host,
                    () -> {
                        publisher.tick(now());
                        checker.claims();
                    });
            network.after(random.nextInt((int) FEED_MILLIS), this::feed);
        }

        /** Starts again from its own log: the state is there, its history is not. */
        void restart() {
            network.stop(host);
            network.start(host);
            long kept = store == null ? 0 : store.current().number();
            store = new ConfigurationStore(limits.sizes());
            try {
                store.reset(AgreedHistory.revision(kept), history.entry(kept).state().values());
            } catch (RejectionException refusal) {
                throw new AssertionError(refusal);
            }
            publisher = new Publisher(store, Scope.all(), limits, chance(), this);
        }

        /** Hears nothing of the other members until then. */
        void cutOff(long until) {
            feedCutUntil = Math.max(feedCutUntil, until);
        }

        private void feed() {
            if (now() >= feedCutUntil) {
                long sent = now();
                long upTo = history.latest();
                lastFeed = Math.max(lastFeed, sent + 1 + random.nextInt(MOST_FEED_DELAY_MILLIS));
                network.after(lastFeed - sent, () -> take(sent, upTo));
            }
            network.after(FEED_MILLIS, this::feed);
        }

        private void take(long sent, long upTo) {
            if (!host.running()) {
                return;
            }
            try {
                for (long number = store.current().number() + 1; number <= upTo; number++) {
                    store.apply(AgreedHistory.revision(number), history.entry(number).updates());
                    publisher.published(now());
                }
            } catch (RejectionException refusal) {
                throw new AssertionError(refusal);
            }
            publisher.freshAt(sent);
        }

        @Override
        Publisher publisher() {
            return publisher;
        }

        @Override
        ConfigurationStore store() {
            return store;
        }

        @Override
        public void connected(long connection, long at) {
            publisher.connected(connection, at);
        }

        @Override
        public void disconnected(long connection, long at) {
            publisher.disconnected(connection, at);
        }

        @Override
        public void received(long connection, DistributionMessage message, long at) {
            publisher.received(connection, message, at);
        }
    }

    /** A relay below all members. */
    final class RelayNode extends ServerNode
            implements SimulatedNetwork.Client, Subscriber.Transport {
        private Relay relay;
        private SimulatedNetwork.Link link;

        RelayNode(String name) {
            super(name);
        }

        private void begin() {
            restart();
            tick(host, () -> relay.tick(now()));
        }

        /** Starts again with nothing. */
        void restart() {
            network.stop(host);
            network.start(host);
            link = null;
            relay =
                    new Relay(
                            host.name,
                            Scope.all(),
                            members.size(),
                            limits,
                            chance(),
                            this,
                            this,
                            (reason, detail) -> {});
        }

        Relay relay() {
            return relay;
        }

        @Override
        Publisher publisher() {
            return relay.publisher();
        }

        @Override
        ConfigurationStore store() {
            return relay.store();
        }

        @Override
        public void connect(int upstream) {
            Member member = members.get(upstream);
            link = network.connect(host, this, member.host, member);
        }

        @Override
        public void disconnect(RejectionReason why, String place) {
            network.closeAtClient(link);
        }

        @Override
        public void send(DistributionMessage message) {
            network.sendUp(link, message);
        }

        @Override
        public void connected(long at) {
            relay.upstreamConnected(at);
        }

        @Override
        public void disconnected(long at) {
            relay.upstreamDisconnected(at);
        }

        @Override
        public void received(DistributionMessage message, long at) {
            relay.upstreamReceived(message, at);
        }

        @Override
        public void connected(long connection, long at) {
            relay.connected(connection, at);
        }

        @Override
        public void disconnected(long connection, long at) {
            relay.disconnected(connection, at);
        }

        @Override
        public void received(long connection, DistributionMessage message, long at) {
            relay.received(connection, message, at);
        }
    }

    /** A governor below all relays; with none, below all members. */
    final class Governor
            implements SimulatedNetwork.Client, Subscriber.Transport, Subscriber.Listener {
        final SimulatedNetwork.Host host;
        private Subscriber subscriber;
        private Scope scope;
        private SimulatedNetwork.Link link;
        private Scope shownScope;
        private Revision shown = Revision.NONE;
        private Map<String, Item> items = new TreeMap<>();
        private long mostInForce = -1;

        Governor(String name, Scope scope) {
            this.host = new SimulatedNetwork.Host(name);
            this.scope = scope;
        }

        private void begin() {
            restart(false);
            tick(
                    host,
                    () -> {
                        subscriber.tick(now());
                        checker.age(this);
                    });
        }

        /** Starts again, with what it had or with nothing. */
        void restart(boolean keeps) {
            network.stop(host);
            network.start(host);
            link = null;
            subscriber =
                    new Subscriber(
                            host.name, scope, servers().size(), limits, chance(), this, this);
            if (keeps && !shown.isNone() && scope.equals(shownScope)) {
                subscriber.restore(shown, items.values());
            } else {
                shown = Revision.NONE;
                items = new TreeMap<>();
            }
        }

        void changeScope(Scope wanted) {
            scope = wanted;
            subscriber.scope(wanted, now());
        }

        List<? extends ServerNode> servers() {
            return relays.isEmpty() ? members : relays;
        }

        Subscriber subscriber() {
            return subscriber;
        }

        SimulatedNetwork.Link link() {
            return link;
        }

        Scope scope() {
            return scope;
        }

        /** The scope of what it shows. */
        Scope shownScope() {
            return shownScope;
        }

        Revision shown() {
            return shown;
        }

        Map<String, Item> items() {
            return items;
        }

        /** The latest revision that was ever in force there; -1 if none was. */
        long mostInForce() {
            return mostInForce;
        }

        @Override
        public void connect(int upstream) {
            ServerNode server = servers().get(upstream);
            link = network.connect(host, this, server.host, server);
        }

        @Override
        public void disconnect(RejectionReason why, String place) {
            network.closeAtClient(link);
        }

        @Override
        public void send(DistributionMessage message) {
            network.sendUp(link, message);
        }

        @Override
        public void snapshot(Revision revision, List<Item> whole) {
            handOver.snapshot(this, revision, whole);
            acknowledgeSoon(revision);
        }

        @Override
        public void difference(Revision revision, List<Update> updates) {
            handOver.difference(this, revision, updates);
            acknowledgeSoon(revision);
        }

        @Override
        public void advanced(Revision revision) {
            show(revision);
        }

        /** Takes a whole state in force. */
        void takeSnapshot(Revision revision, List<Item> whole) {
            items = new TreeMap<>();
            whole.forEach(item -> items.put(item.key(), item));
            shownScope = scope;
            show(revision);
        }

        /** Takes updates in force. */
        void takeDifference(Revision revision, List<Update> updates) {
            for (Update update : updates) {
                if (update.deleted()) {
                    items.remove(update.item().key());
                } else {
                    items.put(update.item().key(), update.item());
                }
            }
            show(revision);
        }

        private void show(Revision revision) {
            Revision before = shown;
            shown = revision;
            checker.shown(this, before);
            mostInForce = Math.max(mostInForce, revision.number());
        }

        private void acknowledgeSoon(Revision revision) {
            Subscriber applying = subscriber;
            network.after(
                    random.nextInt(30),
                    host,
                    () -> {
                        if (subscriber == applying) {
                            applying.acknowledged(revision, now());
                        }
                    });
        }

        @Override
        public void connected(long at) {
            subscriber.connected(at);
        }

        @Override
        public void disconnected(long at) {
            subscriber.disconnected(at);
        }

        @Override
        public void received(DistributionMessage message, long at) {
            subscriber.received(message, at);
        }
    }
}
