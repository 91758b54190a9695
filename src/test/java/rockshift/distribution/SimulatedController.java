package rockshift.distribution;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A controller that connects to the relays, or to the members if there are no relays. */
final class SimulatedController
        implements SimulatedNetwork.Client, Subscriber.Transport, Subscriber.Listener {
    final SimulatedNetwork.Host host;
    private final DistributionSimulation simulation;
    private Subscriber subscriber;
    private Scope scope;
    private SimulatedNetwork.Link link;
    private Scope revisionScope;
    private Revision revision = Revision.NONE;
    private Map<String, Item> items = new TreeMap<>();
    private long highestInForce = -1;

    SimulatedController(DistributionSimulation simulation, String name, Scope scope) {
        this.simulation = simulation;
        this.host = new SimulatedNetwork.Host(name);
        this.scope = scope;
    }

    void start() {
        restart(false);
        simulation.tick(
                host,
                () -> {
                    subscriber.tick(simulation.now());
                    simulation.checker.checkAge(this);
                });
    }

    /**
     * Restarts the controller.
     *
     * @param restoresState whether it restores its state
     */
    void restart(boolean restoresState) {
        simulation.network.stop(host);
        simulation.network.start(host);
        link = null;
        subscriber =
                new Subscriber(
                        host.name,
                        scope,
                        servers().size(),
                        simulation.limits,
                        simulation.newRandom(),
                        this,
                        this);
        if (restoresState && !revision.isNone() && scope.equals(revisionScope)) {
            subscriber.restore(revision, items.values());
        } else {
            revision = Revision.NONE;
            items = new TreeMap<>();
        }
    }

    void changeScope(Scope newScope) {
        scope = newScope;
        subscriber.scope(newScope, simulation.now());
    }

    List<? extends SimulatedServer> servers() {
        return simulation.relays.isEmpty() ? simulation.members : simulation.relays;
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

    /** Returns the scope of its state. */
    Scope revisionScope() {
        return revisionScope;
    }

    Revision revision() {
        return revision;
    }

    Map<String, Item> items() {
        return items;
    }

    /** Returns the latest revision number that was ever in force; -1 if there was none. */
    long highestInForce() {
        return highestInForce;
    }

    @Override
    public void connect(int upstream) {
        SimulatedServer server = servers().get(upstream);
        link = simulation.network.connect(host, this, server.host, server);
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
    public void snapshot(Revision revision, List<Item> newItems) {
        simulation.stateApplier.snapshot(this, revision, newItems);
        acknowledgeSoon(revision);
    }

    @Override
    public void difference(Revision revision, List<Update> updates) {
        simulation.stateApplier.difference(this, revision, updates);
        acknowledgeSoon(revision);
    }

    @Override
    public void advanced(Revision revision) {
        setRevision(revision);
    }

    /** Applies a snapshot. */
    void applySnapshot(Revision revision, List<Item> newItems) {
        items = new TreeMap<>();
        newItems.forEach(item -> items.put(item.key(), item));
        revisionScope = scope;
        setRevision(revision);
    }

    /** Applies updates. */
    void applyDifference(Revision revision, List<Update> updates) {
        for (Update update : updates) {
            if (update.deleted()) {
                items.remove(update.item().key());
            } else {
                items.put(update.item().key(), update.item());
            }
        }
        setRevision(revision);
    }

    private void setRevision(Revision next) {
        Revision before = revision;
        revision = next;
        simulation.checker.checkState(this, before);
        highestInForce = Math.max(highestInForce, next.number());
    }

    private void acknowledgeSoon(Revision revision) {
        Subscriber current = subscriber;
        simulation.network.after(
                simulation.random.nextInt(30),
                host,
                () -> {
                    if (subscriber == current) {
                        current.acknowledged(revision, simulation.now());
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
