package rockshift.distribution;

import java.util.Random;

/** Commits and faults by chance, until a time; all of them have healed by then. */
final class RandomFaults {
    private static final int STEP_MILLIS = 150;
    private final DistributionWorld world;
    private final Random random;
    private final long until;

    RandomFaults(DistributionWorld world, long until) {
        this.world = world;
        this.random = world.random();
        this.until = until;
    }

    void begin() {
        world.network.after(STEP_MILLIS, this::step);
    }

    private void step() {
        if (world.now() >= until) {
            return;
        }
        int commits = random.nextInt(12) == 0 ? 15 : random.nextInt(2);
        for (int count = 0; count < commits; count++) {
            world.commit();
        }
        if (random.nextInt(3) == 0) {
            fault();
        }
        world.network.after(1 + random.nextInt(2 * STEP_MILLIS), this::step);
    }

    private void fault() {
        SimulatedMember member = any(world.members);
        SimulatedController controller = any(world.controllers);
        SimulatedRelay relay = any(world.relays);
        switch (random.nextInt(12)) {
            case 0 -> world.pause(relay.host, within(8_000));
            case 1 -> world.pause(controller.host, within(8_000));
            case 2 -> world.pause(member.host, within(4_000));
            case 3 -> relay.restart();
            case 4 -> controller.restart(random.nextBoolean());
            case 5 -> member.restart();
            case 6 ->
                    world.network.partition(
                            relay.host, controller.host, world.now() + within(5_000));
            case 7 ->
                    world.network.partition(
                            controller.host, relay.host, world.now() + within(5_000));
            case 8 -> cutBetween(member.host, relay.host);
            case 9 -> member.isolate(world.now() + within(6_000));
            case 10 -> controller.changeScope(world.anyScope());
            default -> {
                if (controller.link() != null) {
                    world.network.breakLink(controller.link());
                }
            }
        }
    }

    private void cutBetween(SimulatedNetwork.Host one, SimulatedNetwork.Host other) {
        long end = world.now() + within(5_000);
        if (random.nextBoolean()) {
            world.network.partition(one, other, end);
        } else {
            world.network.partition(other, one, end);
        }
    }

    private long within(int most) {
        return Math.min(Math.max(1, until - world.now()), 50 + random.nextInt(most));
    }

    private <T> T any(java.util.List<T> candidates) {
        return candidates.get(random.nextInt(candidates.size()));
    }
}
