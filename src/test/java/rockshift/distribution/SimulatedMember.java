package rockshift.distribution;

/**
 * A member that receives the agreed changes in order and with a delay, except while it is isolated
 * from the other members.
 */
final class SimulatedMember extends SimulatedServer {
    private static final long RECEIVE_INTERVAL_MILLIS = 100;
    private static final int MAX_DELAY_MILLIS = 30;

    private ConfigurationStore store;
    private Publisher publisher;
    private long isolatedUntilMillis;
    private long lastArrivalMillis;

    SimulatedMember(DistributionSimulation simulation, String name) {
        super(simulation, name);
    }

    void start() {
        restart();
        simulation.tick(
                host,
                () -> {
                    publisher.tick(simulation.now());
                    simulation.checker.checkReportedInForce();
                });
        simulation.network.after(
                simulation.random.nextInt((int) RECEIVE_INTERVAL_MILLIS), this::receiveChanges);
    }

    /** Restarts the member from its own log: the state is retained, its history is not. */
    void restart() {
        simulation.network.stop(host);
        simulation.network.start(host);
        long retained = store == null ? 0 : store.current().number();
        store = new ConfigurationStore(simulation.limits.sizes());
        try {
            store.reset(
                    AgreedHistory.revision(retained),
                    simulation.history.entry(retained).state().values());
        } catch (RejectionException rejection) {
            throw new AssertionError(rejection);
        }
        publisher =
                new Publisher(store, Scope.all(), simulation.limits, simulation.newRandom(), this);
    }

    /** Isolates the member from the other members until the given time. */
    void isolate(long until) {
        isolatedUntilMillis = Math.max(isolatedUntilMillis, until);
    }

    private void receiveChanges() {
        if (simulation.now() >= isolatedUntilMillis) {
            long sentMillis = simulation.now();
            long upTo = simulation.history.latest();
            lastArrivalMillis =
                    Math.max(
                            lastArrivalMillis,
                            sentMillis + 1 + simulation.random.nextInt(MAX_DELAY_MILLIS));
            simulation.network.after(lastArrivalMillis - sentMillis, () -> apply(sentMillis, upTo));
        }
        simulation.network.after(RECEIVE_INTERVAL_MILLIS, this::receiveChanges);
    }

    private void apply(long sentMillis, long upTo) {
        if (!host.running()) {
            return;
        }
        try {
            for (long number = store.current().number() + 1; number <= upTo; number++) {
                store.apply(
                        AgreedHistory.revision(number), simulation.history.entry(number).updates());
                publisher.storeChanged(simulation.now());
            }
        } catch (RejectionException rejection) {
            throw new AssertionError(rejection);
        }
        publisher.storeFreshAt(sentMillis);
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
