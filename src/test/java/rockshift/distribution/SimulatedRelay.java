package rockshift.distribution;

/** A relay that connects to the members. */
final class SimulatedRelay extends SimulatedServer
        implements SimulatedNetwork.Client, Subscriber.Transport {
    private Relay relay;
    private SimulatedNetwork.Link link;

    SimulatedRelay(DistributionSimulation simulation, String name) {
        super(simulation, name);
    }

    void start() {
        restart();
        simulation.tick(host, () -> relay.tick(simulation.now()));
    }

    /** Restarts the relay without a state. */
    void restart() {
        simulation.network.stop(host);
        simulation.network.start(host);
        link = null;
        relay =
                new Relay(
                        host.name,
                        Scope.all(),
                        simulation.members.size(),
                        simulation.limits,
                        simulation.newRandom(),
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
        SimulatedMember member = simulation.members.get(upstream);
        link = simulation.network.connect(host, this, member.host, member);
    }

    @Override
    public void disconnect(RejectionReason reason, String detail) {
        simulation.network.closeAtClient(link);
    }

    @Override
    public void send(DistributionMessage message) {
        simulation.network.sendUpstream(link, message);
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
        relay.publisher().connected(connection, at);
    }

    @Override
    public void disconnected(long connection, long at) {
        relay.publisher().disconnected(connection, at);
    }

    @Override
    public void received(long connection, DistributionMessage message, long at) {
        relay.publisher().received(connection, message, at);
    }
}
