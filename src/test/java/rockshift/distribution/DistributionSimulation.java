package rockshift.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * A simulation of members that receive the agreed changes, relays below them, and controllers below
 * the relays, all on one simulated network, with a checker of every state, message and report. A
 * seed determines the run.
 */
final class DistributionSimulation {
    private static final long TICK_MILLIS = 50;

    /** The number of members, relays and controllers. */
    record Size(int members, int relays, int controllers) {}

    /** Applies what is delivered to a controller's host; tests replace it to inject faults. */
    interface StateApplier {
        void snapshot(SimulatedController controller, Revision revision, List<Item> items);

        void difference(SimulatedController controller, Revision revision, List<Update> updates);
    }

    final SimulatedNetwork network;
    final AgreedHistory history = new AgreedHistory();
    final DistributionChecker checker;
    final List<SimulatedMember> members = new ArrayList<>();
    final List<SimulatedRelay> relays = new ArrayList<>();
    final List<SimulatedController> controllers = new ArrayList<>();
    private final long seed;
    final Limits limits;
    final Random random;
    StateApplier stateApplier =
            new StateApplier() {
                @Override
                public void snapshot(
                        SimulatedController controller, Revision revision, List<Item> items) {
                    controller.applySnapshot(revision, items);
                }

                @Override
                public void difference(
                        SimulatedController controller, Revision revision, List<Update> updates) {
                    controller.applyDifference(revision, updates);
                }
            };

    DistributionSimulation(long seed, Size size, Limits limits, Limits checked) {
        this.seed = seed;
        this.limits = limits;
        this.random = new Random(seed);
        this.network = new SimulatedNetwork(new Random(seed + 1));
        this.checker = new DistributionChecker(this, checked);
        for (int index = 0; index < size.members(); index++) {
            members.add(new SimulatedMember(this, "m" + index));
        }
        for (int index = 0; index < size.relays(); index++) {
            relays.add(new SimulatedRelay(this, "r" + index));
        }
        for (int index = 0; index < size.controllers(); index++) {
            controllers.add(new SimulatedController(this, "g" + index, anyScope()));
        }
        members.forEach(SimulatedMember::start);
        relays.forEach(SimulatedRelay::start);
        controllers.forEach(SimulatedController::start);
    }

    DistributionSimulation(long seed, Size size, Limits limits) {
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

    void stateApplier(StateApplier applier) {
        stateApplier = applier;
    }

    Roster roster() {
        return Roster.of(controllers.stream().map(controller -> controller.host.name).toList());
    }

    /** Commits a revision with a random change. */
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

    /** Pauses a process for the given time. */
    void pause(SimulatedNetwork.Host host, long millis) {
        if (host.running()) {
            network.pause(host);
            network.after(millis, () -> network.resume(host));
        }
    }

    SplittableRandom newRandom() {
        return new SplittableRandom(random.nextLong());
    }

    void tick(SimulatedNetwork.Host host, Runnable action) {
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
}
