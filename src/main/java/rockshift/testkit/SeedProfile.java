package rockshift.testkit;

import java.util.random.RandomGenerator;
import rockshift.raft.Timing;

/**
 * The parameters of a simulation that vary by seed.
 *
 * @param focus the kind of fault that is injected most
 * @param encodesMessages whether messages are encoded and decoded by the codec
 * @param laggingMember the member that receives everything late; -1 for none
 * @param slowDiskMember the member whose disk is always slow; -1 for none
 * @param usualDelayTicks the maximum message delay while the network has no faults
 * @param maxFaultIntervalTicks the maximum time between two faults
 * @param alignedTimers whether election time-outs lie close together, so that elections collide
 */
record SeedProfile(
        Focus focus,
        boolean encodesMessages,
        Timing timing,
        int laggingMember,
        int slowDiskMember,
        long usualDelayTicks,
        long maxFaultIntervalTicks,
        boolean alignedTimers) {
    private static final int NONE = -1;
    private static final long ELECTION_TIMEOUT_TICKS = 2_000;
    private static final long HEARTBEAT_INTERVAL_TICKS = 400;
    private static final double MAX_CLOCK_DRIFT = 0.1;
    private static final int USUAL_BATCH_ENTRIES = 512;
    private static final long SHORT_DELAY_TICKS = 20;
    private static final long LONG_DELAY_TICKS = 200;
    private static final long LONGEST_DELAY_TICKS = 600;
    private static final long[] FAULT_INTERVALS_TICKS = {700, 2_000, 5_000};

    /** The kind of fault that is injected most. */
    enum Focus {
        /** Any fault. */
        ANYTHING,
        /** Leaders that learn late that they were replaced, while clients read from them. */
        READS,
        /** Leaders that crash one after the other. */
        LEADERS
    }

    /** Draws a profile. A seed reproduces its run only while the order of draws is unchanged. */
    static SeedProfile draw(RandomGenerator random, int members) {
        boolean encodesMessages = random.nextInt(8) == 0;
        Focus focus =
                new Focus[] {Focus.ANYTHING, Focus.ANYTHING, Focus.READS, Focus.LEADERS}
                        [random.nextInt(4)];
        boolean reads = focus == Focus.READS;
        boolean smallBatches = focus == Focus.LEADERS || random.nextInt(3) == 0;
        Timing timing =
                new Timing(
                        ELECTION_TIMEOUT_TICKS,
                        HEARTBEAT_INTERVAL_TICKS,
                        MAX_CLOCK_DRIFT,
                        random.nextInt(3) > 0,
                        smallBatches ? 1 + random.nextInt(3) : USUAL_BATCH_ENTRIES);
        int laggingMember = reads || random.nextBoolean() ? random.nextInt(members) : NONE;
        int slowDiskMember = !reads && random.nextInt(4) == 0 ? random.nextInt(members) : NONE;
        long usualDelayTicks = reads ? SHORT_DELAY_TICKS : drawDelayTicks(random, focus);
        long maxFaultIntervalTicks =
                reads
                        ? FAULT_INTERVALS_TICKS[FAULT_INTERVALS_TICKS.length - 1]
                        : FAULT_INTERVALS_TICKS[random.nextInt(FAULT_INTERVALS_TICKS.length)];
        boolean alignedTimers = reads || random.nextInt(3) == 0;
        return new SeedProfile(
                focus,
                encodesMessages,
                timing,
                laggingMember,
                slowDiskMember,
                usualDelayTicks,
                maxFaultIntervalTicks,
                alignedTimers);
    }

    private static long drawDelayTicks(RandomGenerator random, Focus focus) {
        long second = focus == Focus.LEADERS ? LONG_DELAY_TICKS : SHORT_DELAY_TICKS;
        return new long[] {SHORT_DELAY_TICKS, second, LONG_DELAY_TICKS, LONGEST_DELAY_TICKS}
                [random.nextInt(4)];
    }
}
