package rockshift.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * A simulated world: members that are fed what was agreed, relays below them, controllers below
 * those, all on one simulated network, with a checker that looks at everything shown, sent and
 * claimed. One seed, one run.
 */
final class DistributionWorld {
    private static final long TICK_MILLIS = 50;

    /** How many of each there are. */
    record Size(int members, int relays, int controllers) {}

    /** Changes what a controller's host is handed, for faults that are planted there. */
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
                    controller.takeSnapshot(revision, items);
                }

                @Override
                public void difference(
                        SimulatedController controller, Revision revision, List<Update> updates) {
                    controller.takeDifference(revision, updates);
                }
            };

    DistributionWorld(long seed, Size size, Limits limits, Limits checked) {
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
        members.forEach(SimulatedMember::begin);
        relays.forEach(SimulatedRelay::begin);
        controllers.forEach(SimulatedController::begin);
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

    void stateApplier(StateApplier with) {
        stateApplier = with;
    }

    Roster roster() {
        return Roster.of(controllers.stream().map(controller -> controller.host.name).toList());
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
