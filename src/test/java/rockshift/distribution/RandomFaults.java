package rockshift.distribution;

import java.util.Random;

/** Random commits and faults until a given time, by which all faults have ended. */
final class RandomFaults {
    private static final int STEP_MILLIS = 150;
    private final DistributionSimulation simulation;
    private final Random random;
    private final long until;

    RandomFaults(DistributionSimulation simulation, long until) {
        this.simulation = simulation;
        this.random = simulation.random();
        this.until = until;
    }

    void start() {
        simulation.network.after(STEP_MILLIS, this::step);
    }

    private void step() {
        if (simulation.now() >= until) {
            return;
        }
        int commits = random.nextInt(12) == 0 ? 15 : random.nextInt(2);
        for (int count = 0; count < commits; count++) {
            simulation.commit();
        }
        if (random.nextInt(3) == 0) {
            fault();
        }
        simulation.network.after(1 + random.nextInt(2 * STEP_MILLIS), this::step);
    }

    private void fault() {
        SimulatedMember member = pickRandom(simulation.members);
        SimulatedController controller = pickRandom(simulation.controllers);
        SimulatedRelay relay = pickRandom(simulation.relays);
        switch (random.nextInt(12)) {
            case 0 -> simulation.pause(relay.host, randomDuration(8_000));
            case 1 -> simulation.pause(controller.host, randomDuration(8_000));
            case 2 -> simulation.pause(member.host, randomDuration(4_000));
            case 3 -> relay.restart();
            case 4 -> controller.restart(random.nextBoolean());
            case 5 -> member.restart();
            case 6 ->
                    simulation.network.partition(
                            relay.host, controller.host, simulation.now() + randomDuration(5_000));
            case 7 ->
                    simulation.network.partition(
                            controller.host, relay.host, simulation.now() + randomDuration(5_000));
            case 8 -> partitionOneDirection(member.host, relay.host);
            case 9 -> member.isolate(simulation.now() + randomDuration(6_000));
            case 10 -> controller.changeScope(simulation.anyScope());
            default -> {
                if (controller.link() != null) {
                    simulation.network.breakLink(controller.link());
                }
            }
        }
    }

    private void partitionOneDirection(SimulatedNetwork.Host one, SimulatedNetwork.Host other) {
        long untilMillis = simulation.now() + randomDuration(5_000);
        if (random.nextBoolean()) {
            simulation.network.partition(one, other, untilMillis);
        } else {
            simulation.network.partition(other, one, untilMillis);
        }
    }

    private long randomDuration(int maxMillis) {
        return Math.min(Math.max(1, until - simulation.now()), 50 + random.nextInt(maxMillis));
    }

    private <T> T pickRandom(java.util.List<T> candidates) {
        return candidates.get(random.nextInt(candidates.size()));
    }
}
