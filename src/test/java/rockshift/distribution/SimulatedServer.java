package rockshift.distribution;

/** The common part of members and relays: a publisher on the simulated network. */
abstract class SimulatedServer implements SimulatedNetwork.Server, Publisher.Transport {
    final SimulatedNetwork.Host host;
    final DistributionSimulation simulation;

    SimulatedServer(DistributionSimulation simulation, String name) {
        this.simulation = simulation;
        this.host = new SimulatedNetwork.Host(name);
    }

    abstract Publisher publisher();

    abstract ConfigurationStore store();

    @Override
    public void send(long connection, DistributionMessage message) {
        SimulatedNetwork.Link link = simulation.network.link(connection);
        if (link != null) {
            simulation.network.sendDownstream(link, message);
            simulation.checker.checkSent(link, message);
        }
    }

    @Override
    public void close(long connection, RejectionReason reason, String detail) {
        SimulatedNetwork.Link link = simulation.network.link(connection);
        if (link != null) {
            simulation.network.closeAtServer(link);
        }
    }
}
