package rockshift.capacity;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import rockshift.testkit.ProcessUsage;

/**
 * One run of a {@link ScaleScenario} on a {@link ScaleCluster}: proposes changes and kills
 * controllers at fixed rates, and injects each fault once. The observations of all controllers go
 * to a {@link ScaleChecker}.
 */
public final class ScaleRun implements AutoCloseable {
    private static final long STEP_MILLIS = 100;
    private static final long SAMPLE_MILLIS = 1_000;

    /** The time until a killed member or relay is restarted. */
    private static final long DOWNTIME_MILLIS = 2_000;

    /**
     * The longest stall of this program for which a run is not void: a tenth of the limit for a
     * change.
     */
    private static final long MAX_STALL_MILLIS = ScaleVerdict.MAX_IN_FORCE_MILLIS / 10;

    /** The fractions of the changes after which each fault is injected. */
    private static final double PARTITION_AT_FRACTION = 0.2;

    private static final double LEADER_KILL_AT_FRACTION = 0.5;
    private static final double RELAY_KILL_AT_FRACTION = 0.65;
    private static final double RESTART_ALL_AT_FRACTION = 0.8;

    /** The result of a run, with its figures by name in the order of measurement. */
    public record Outcome(
            ScaleVerdict verdict, Map<String, Double> figures, List<String> voidReasons) {
        /** The last line that a run prints. */
        public String summary() {
            return verdict.summary(
                    figures.get("busiest member, share of a core"),
                    figures.get("governor, bytes a second"));
        }

        /** Whether the verdict passed and the run is not void. */
        public boolean passed() {
            return verdict.passed() && voidReasons.isEmpty();
        }
    }

    private final ScaleScenario scenario;
    private final Consumer<String> progress;
    private final ScaleChecker checker = new ScaleChecker();
    private final SplittableRandom random;
    private final ScaleCluster cluster;
    private final Map<Long, ProcessUsage> lastUsage = new HashMap<>();
    private final Map<String, Double> figures = new LinkedHashMap<>();

    /**
     * The time in ms until a started controller has its state, for controllers restarted one by one
     * and for all started at once.
     */
    private final Histogram singleStartMillis = new ConcurrentHistogram(3);

    private final Histogram jointStartMillis = new ConcurrentHistogram(3);
    private double busiestMemberCoreShare;
    private long lastSampleAtMillis;
    private long nextKillAtMillis;

    /**
     * Creates a run that has not started.
     *
     * @param progress receives a progress line from time to time
     */
    public ScaleRun(ScaleScenario scenario, Consumer<String> progress) throws IOException {
        if (!scenario.fits()) {
            throw new IllegalArgumentException(
                    "scenario needs too many processes or partitions a region that does not exist");
        }
        this.scenario = scenario;
        this.progress = progress;
        random = new SplittableRandom(scenario.seed());
        cluster = new ScaleCluster(scenario, checker, progress);
    }

    /** Runs the scenario and checks the observations. */
    public Outcome run() throws IOException, InterruptedException {
        try (StallMonitor stalls = new StallMonitor()) {
            cluster.start();
            startControllers("all governors at once until in force, ms");
            ChangeLoad load = new ChangeLoad(cluster.memberAddresses(), scenario, checker);
            runChanges(load);
            awaitLastChanges();
            figures.put("busiest member, share of a core", busiestMemberCoreShare);
            figures.put("rig, held up at most, ms", (double) stalls.longestStallMillis());
            figures.put(
                    "load average at the end",
                    ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
            ScaleVerdict verdict = checker.verdict();
            figures.put(
                    "in force everywhere, longest ms",
                    (double) verdict.inForceEverywhereMillis().getMaxValue());
            figures.put("governors started one by one", (double) singleStartMillis.getTotalCount());
            figures.put(
                    "one governor started until in force, median ms",
                    (double) singleStartMillis.getValueAtPercentile(50));
            figures.put(
                    "one governor started until in force, longest ms",
                    (double) singleStartMillis.getMaxValue());
            return new Outcome(verdict, figures, voidReasons(stalls, load));
        }
    }

    private static List<String> voidReasons(StallMonitor stalls, ChangeLoad load) {
        List<String> reasons = new ArrayList<>();
        if (stalls.longestStallMillis() > MAX_STALL_MILLIS) {
            reasons.add("this program was stalled for " + stalls.longestStallMillis() + " ms");
        }
        if (load.unanswered() > 0) {
            reasons.add(load.unanswered() + " changes have an unknown outcome");
        }
        return reasons;
    }

    private List<ScheduledFault> faults() {
        List<ScheduledFault> faults = new ArrayList<>();
        if (scenario.partitionMillis() > 0) {
            faults.add(
                    new ScheduledFault(
                            PARTITION_AT_FRACTION,
                            scenario.partitionMillis(),
                            () -> setPartitioned(true),
                            () -> setPartitioned(false)));
        }
        int[] leader = new int[1];
        faults.add(
                new ScheduledFault(
                        LEADER_KILL_AT_FRACTION,
                        DOWNTIME_MILLIS,
                        () -> {
                            leader[0] = cluster.leader();
                            progress.accept("killing leader n" + leader[0]);
                            cluster.members().kill(leader[0]);
                        },
                        () -> cluster.members().start(leader[0])));
        Region lastRegion = cluster.regions().get(scenario.regions() - 1);
        faults.add(
                new ScheduledFault(
                        RELAY_KILL_AT_FRACTION,
                        DOWNTIME_MILLIS,
                        () -> {
                            progress.accept("killing a relay");
                            lastRegion.killRelay(0);
                        },
                        () -> lastRegion.startRelay(0)));
        faults.add(new ScheduledFault(RESTART_ALL_AT_FRACTION, 0, this::restartAll, () -> {}));
        return faults;
    }

    private void runChanges(ChangeLoad load) throws IOException, InterruptedException {
        Thread loadThread = new Thread(load, "changes");
        loadThread.setDaemon(true);
        List<ScheduledFault> faults = faults();
        int leader = cluster.leader();
        RoleUsage before = cluster.usage(leader);
        long startedMillis = LightweightController.nowMillis();
        loadThread.start();
        nextKillAtMillis =
                startedMillis + (long) Math.min(Integer.MAX_VALUE, scenario.millisBetweenKills());
        boolean steady = true;
        while (loadThread.isAlive()) {
            double doneFraction = (double) load.proposed() / scenario.changes();
            if (steady && doneFraction >= PARTITION_AT_FRACTION) {
                steady = false;
                figures.putAll(before.since(cluster.subscribers()));
            }
            step(faults, doneFraction);
        }
        for (long endMillis =
                        LightweightController.nowMillis()
                                + scenario.partitionMillis()
                                + DOWNTIME_MILLIS;
                LightweightController.nowMillis() < endMillis; ) {
            step(faults, 1);
        }
    }

    private void step(List<ScheduledFault> faults, double doneFraction)
            throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
        long now = LightweightController.nowMillis();
        for (ScheduledFault fault : faults) {
            fault.step(doneFraction, now);
        }
        if (now > nextKillAtMillis) {
            nextKillAtMillis += (long) scenario.millisBetweenKills();
            LightweightController controller =
                    cluster.controllers().get(random.nextInt(scenario.controllers()));
            controller.kill();
            controller.start(singleStartMillis);
        }
        if (now > lastSampleAtMillis + SAMPLE_MILLIS) {
            lastSampleAtMillis = now;
            cluster.controllers().forEach(LightweightController::reportAge);
            sampleMembers();
        }
    }

    private void setPartitioned(boolean partitioned) {
        progress.accept(
                "region "
                        + scenario.partitionedRegion()
                        + (partitioned ? " is partitioned" : " is healed"));
        if (!partitioned) {
            cluster.regions().get(scenario.partitionedRegion()).setPartitioned(false);
        }
        long now = LightweightController.nowMillis();
        for (String name : cluster.namesIn(scenario.partitionedRegion())) {
            checker.observe(
                    partitioned
                            ? new Observation.Partitioned(now, name)
                            : new Observation.Healed(now, name));
        }
        if (partitioned) {
            cluster.regions().get(scenario.partitionedRegion()).setPartitioned(true);
        }
    }

    private void startControllers(String figure) throws IOException, InterruptedException {
        long startedMillis = LightweightController.nowMillis();
        cluster.controllers().forEach(controller -> controller.start(jointStartMillis));
        cluster.awaitStates();
        figures.put(figure, (double) (LightweightController.nowMillis() - startedMillis));
    }

    private void restartAll() throws IOException, InterruptedException {
        progress.accept("restarting all controllers");
        cluster.controllers().forEach(LightweightController::kill);
        startControllers("all governors again at once until in force, ms");
    }

    /** Waits twice the limit for a change, so that changes missing after that count as lost. */
    private void awaitLastChanges() throws InterruptedException {
        long endMillis = LightweightController.nowMillis() + 2 * ScaleVerdict.MAX_IN_FORCE_MILLIS;
        while (LightweightController.nowMillis() < endMillis) {
            TimeUnit.MILLISECONDS.sleep(SAMPLE_MILLIS);
            cluster.controllers().forEach(LightweightController::reportAge);
        }
    }

    private void sampleMembers() throws IOException {
        double maxCoreShare = 0;
        for (int i = 0; i < ScaleScenario.MEMBERS; i++) {
            if (cluster.members().isRunning(i)) {
                ProcessUsage now = ProcessUsage.of(cluster.members().pid(i));
                ProcessUsage before = lastUsage.put(cluster.members().pid(i), now);
                maxCoreShare =
                        Math.max(maxCoreShare, before == null ? 0 : now.coreShareSince(before));
            }
        }
        busiestMemberCoreShare = Math.max(busiestMemberCoreShare, maxCoreShare);
    }

    @Override
    public void close() throws IOException, InterruptedException {
        cluster.close();
    }
}
