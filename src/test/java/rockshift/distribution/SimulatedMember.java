package rockshift.distribution;

/**
 * A member: fed with what was agreed, in order and with delay, while it is not cut off from the
 * others.
 */
final class SimulatedMember extends SimulatedServer {
    private static final long FEED_INTERVAL_MILLIS = 100;
    private static final int MAX_FEED_DELAY_MILLIS = 30;

    private ConfigurationStore store;
    private Publisher publisher;
    private long isolatedUntilMillis;
    private long lastFeed;

    SimulatedMember(DistributionWorld world, String name) {
        super(world, name);
    }

    void begin() {
        restart();
        world.tick(
                host,
                () -> {
                    publisher.tick(world.now());
                    world.checker.checkClaims();
                });
        world.network.after(world.random.nextInt((int) FEED_INTERVAL_MILLIS), this::feed);
    }

    /** Starts again from its own log: the state is there, its history is not. */
    void restart() {
        world.network.stop(host);
        world.network.start(host);
        long kept = store == null ? 0 : store.current().number();
        store = new ConfigurationStore(world.limits.sizes());
        try {
            store.reset(AgreedHistory.revision(kept), world.history.entry(kept).state().values());
        } catch (RejectionException refusal) {
            throw new AssertionError(refusal);
        }
        publisher = new Publisher(store, Scope.all(), world.limits, world.newRandom(), this);
    }

    /** Hears nothing of the other members until then. */
    void isolate(long until) {
        isolatedUntilMillis = Math.max(isolatedUntilMillis, until);
    }

    private void feed() {
        if (world.now() >= isolatedUntilMillis) {
            long sent = world.now();
            long upTo = world.history.latest();
            lastFeed = Math.max(lastFeed, sent + 1 + world.random.nextInt(MAX_FEED_DELAY_MILLIS));
            world.network.after(lastFeed - sent, () -> take(sent, upTo));
        }
        world.network.after(FEED_INTERVAL_MILLIS, this::feed);
    }

    private void take(long sent, long upTo) {
        if (!host.running()) {
            return;
        }
        try {
            for (long number = store.current().number() + 1; number <= upTo; number++) {
                store.apply(AgreedHistory.revision(number), world.history.entry(number).updates());
                publisher.published(world.now());
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
