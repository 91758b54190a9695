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
 * One run of a {@link ScaleScenario}: changes at a rate, controllers killed at a rate, and each
 * fault once, on a {@link ScaleCluster}. What all controllers saw goes to a {@link ScaleChecker}.
 */
public final class ScaleRun implements AutoCloseable {
    private static final long STEP_MILLIS = 100;
    private static final long SAMPLE_MILLIS = 1_000;

    /** How long a member or relay stays away after it was killed. */
    private static final long DOWNTIME_MILLIS = 2_000;

    /**
     * Ms for which this program may be held up before a run is void: a tenth of what a change may
     * take.
     */
    private static final long MAX_STALL_MILLIS = ScaleVerdict.MAX_IN_FORCE_MILLIS / 10;

    /** Shares of the changes after which each fault comes. */
    private static final double PARTITION_AT_FRACTION = 0.2;

    private static final double LEADER_KILL_AT_FRACTION = 0.5;
    private static final double RELAY_KILL_AT_FRACTION = 0.65;
    private static final double RESTART_ALL_AT_FRACTION = 0.8;

    /** What came of a run; figures by name, in their order. */
    public record Outcome(
            ScaleVerdict verdict, Map<String, Double> figures, List<String> voidReasons) {
        /** The last line of a run. */
        public String summary() {
            return verdict.summary(
                    figures.get("busiest member, share of a core"),
                    figures.get("governor, bytes a second"));
        }

        /** Whether nothing went wrong and the run counts. */
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
     * Ms until controllers hold their state: those killed and started one by one, and all at once.
     */
    private final Histogram startedAlone = new ConcurrentHistogram(3);

    private final Histogram startedTogether = new ConcurrentHistogram(3);
    private double busiestMember;
    private long lastSampleAtMillis;
    private long nextKillAtMillis;

    /** A run that has not begun; progress hears a line from time to time. */
    public ScaleRun(ScaleScenario scenario, Consumer<String> progress) throws IOException {
        if (!scenario.fits()) {
            throw new IllegalArgumentException("more processes or regions than a run may have");
        }
        this.scenario = scenario;
        this.progress = progress;
        random = new SplittableRandom(scenario.seed());
        cluster = new ScaleCluster(scenario, checker, progress);
    }

    /** Runs the scenario and checks what was seen. */
    public Outcome run() throws IOException, InterruptedException {
        try (StallMonitor stalls = new StallMonitor()) {
            cluster.start();
            startControllers("all governors at once until in force, ms");
            ChangeLoad load = new ChangeLoad(cluster.memberAddresses(), scenario, checker);
            playChanges(load);
            awaitLastChanges();
            figures.put("busiest member, share of a core", busiestMember);
            figures.put("rig, held up at most, ms", (double) stalls.longestStallMillis());
            figures.put(
                    "load average at the end",
                    ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
            ScaleVerdict verdict = checker.verdict();
            figures.put(
                    "in force everywhere, longest ms",
                    (double) verdict.inForceEverywhereMillis().getMaxValue());
            figures.put("governors started one by one", (double) startedAlone.getTotalCount());
            figures.put(
                    "one governor started until in force, median ms",
                    (double) startedAlone.getValueAtPercentile(50));
            figures.put(
                    "one governor started until in force, longest ms",
                    (double) startedAlone.getMaxValue());
            return new Outcome(verdict, figures, voidReasons(stalls, load));
        }
    }

    private static List<String> voidReasons(StallMonitor stalls, ChangeLoad load) {
        List<String> reasons = new ArrayList<>();
        if (stalls.longestStallMillis() > MAX_STALL_MILLIS) {
            reasons.add("the rig was held up for " + stalls.longestStallMillis() + " ms");
        }
        if (load.unanswered() > 0) {
            reasons.add(load.unanswered() + " changes were not answered for good");
        }
        return reasons;
    }

    // ---- changes and faults ---------------------------------------------------------------------

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
                            progress.accept("leader n" + leader[0] + " is killed");
                            cluster.members().kill(leader[0]);
                        },
                        () -> cluster.members().start(leader[0])));
        Region last = cluster.regions().get(scenario.regions() - 1);
        faults.add(
                new ScheduledFault(
                        RELAY_KILL_AT_FRACTION,
                        DOWNTIME_MILLIS,
                        () -> {
                            progress.accept("a relay is killed");
                            last.killRelay(0);
                        },
                        () -> last.startRelay(0)));
        faults.add(new ScheduledFault(RESTART_ALL_AT_FRACTION, 0, this::restartAll, () -> {}));
        return faults;
    }

    private void playChanges(ChangeLoad load) throws IOException, InterruptedException {
        Thread asking = new Thread(load, "changes");
        asking.setDaemon(true);
        List<ScheduledFault> faults = faults();
        int leader = cluster.leader();
        RoleUsage before = cluster.usage(leader);
        long startedMillis = LightweightController.nowMillis();
        asking.start();
        nextKillAtMillis =
                startedMillis + (long) Math.min(Integer.MAX_VALUE, scenario.millisBetweenKills());
        boolean steady = true;
        while (asking.isAlive()) {
            double done = (double) load.proposed() / scenario.changes();
            if (steady && done >= PARTITION_AT_FRACTION) {
                steady = false;
                figures.putAll(before.since(cluster.subscribers()));
            }
            step(faults, done);
        }
        for (long end =
                        LightweightController.nowMillis()
                                + scenario.partitionMillis()
                                + DOWNTIME_MILLIS;
                LightweightController.nowMillis() < end; ) {
            step(faults, 1);
        }
    }

    private void step(List<ScheduledFault> faults, double done)
            throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
        long now = LightweightController.nowMillis();
        for (ScheduledFault fault : faults) {
            fault.step(done, now);
        }
        if (now > nextKillAtMillis) {
            nextKillAtMillis += (long) scenario.millisBetweenKills();
            LightweightController one =
                    cluster.controllers().get(random.nextInt(scenario.controllers()));
            one.kill();
            one.start(startedAlone);
        }
        if (now > lastSampleAtMillis + SAMPLE_MILLIS) {
            lastSampleAtMillis = now;
            cluster.controllers().forEach(LightweightController::reportAge);
            sampleMembers();
        }
    }

    private void setPartitioned(boolean cut) {
        progress.accept(
                "region " + scenario.partitionedRegion() + (cut ? " is cut" : " is healed"));
        if (!cut) {
            cluster.regions().get(scenario.partitionedRegion()).setPartitioned(false);
        }
        long now = LightweightController.nowMillis();
        for (String name : cluster.namesIn(scenario.partitionedRegion())) {
            checker.observe(
                    cut
                            ? new Observation.Partitioned(now, name)
                            : new Observation.Healed(now, name));
        }
        if (cut) {
            cluster.regions().get(scenario.partitionedRegion()).setPartitioned(true);
        }
    }

    private void startControllers(String figure) throws IOException, InterruptedException {
        long startedMillis = LightweightController.nowMillis();
        cluster.controllers().forEach(controller -> controller.start(startedTogether));
        cluster.awaitStates();
        figures.put(figure, (double) (LightweightController.nowMillis() - startedMillis));
    }

    private void restartAll() throws IOException, InterruptedException {
        progress.accept("all governors start again");
        cluster.controllers().forEach(LightweightController::kill);
        startControllers("all governors again at once until in force, ms");
    }

    /** Waits as long as a change may take, so that what is then missing is lost. */
    private void awaitLastChanges() throws InterruptedException {
        long end = LightweightController.nowMillis() + 2 * ScaleVerdict.MAX_IN_FORCE_MILLIS;
        while (LightweightController.nowMillis() < end) {
            TimeUnit.MILLISECONDS.sleep(SAMPLE_MILLIS);
            cluster.controllers().forEach(LightweightController::reportAge);
        }
    }

    // ---- measurements ---------------------------------------------------------------------------

    private void sampleMembers() throws IOException {
        double most = 0;
        for (int i = 0; i < ScaleScenario.MEMBERS; i++) {
            if (cluster.members().isRunning(i)) {
                ProcessUsage now = ProcessUsage.of(cluster.members().pid(i));
                ProcessUsage before = lastUsage.put(cluster.members().pid(i), now);
                most = Math.max(most, before == null ? 0 : now.coreShareSince(before));
            }
        }
        busiestMember = Math.max(busiestMember, most);
    }

    @Override
    public void close() throws IOException, InterruptedException {
        cluster.close();
    }
}
