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
 * One play of a {@link Scenario}: changes at a rate, governors killed at a rate, and each fault
 * once, on a {@link ScaleCluster}. What all governors saw goes to a {@link ScaleChecker}.
 */
public final class ScaleRun implements AutoCloseable {
    private static final long STEP_MILLIS = 100;
    private static final long SAMPLE_MILLIS = 1_000;

    /** How long a member or relay stays away after it was killed. */
    private static final long AWAY_MILLIS = 2_000;

    /**
     * Ms for which this program may be held up before a run is void: a tenth of what a change may
     * take.
     */
    private static final long RIG_LATE_MILLIS = ScaleVerdict.IN_FORCE_MILLIS / 10;

    /** Shares of the changes after which each fault comes. */
    private static final double CUT_AT = 0.2;

    private static final double LEADER_AT = 0.5;
    private static final double RELAY_AT = 0.65;
    private static final double ALL_AT = 0.8;

    /** What came of a run; figures by name, in their order. */
    public record Outcome(
            ScaleVerdict verdict, Map<String, Double> figures, List<String> voidReasons) {
        /** The last line of a run. */
        public String line() {
            return verdict.line(
                    figures.get("busiest member, share of a core"),
                    figures.get("governor, bytes a second"));
        }

        public boolean held() {
            return verdict.held() && voidReasons.isEmpty();
        }
    }

    private final Scenario scenario;
    private final Consumer<String> progress;
    private final ScaleChecker checker = new ScaleChecker();
    private final SplittableRandom random;
    private final ScaleCluster cluster;
    private final Map<Long, ProcessUsage> lastUsage = new HashMap<>();
    private final Map<String, Double> figures = new LinkedHashMap<>();

    /**
     * Ms until governors hold their state: those killed and started one by one, and all at once.
     */
    private final Histogram startedAlone = new ConcurrentHistogram(3);

    private final Histogram startedTogether = new ConcurrentHistogram(3);
    private double busiestMember;
    private long lastSampleAt;
    private long nextKillAt;

    public ScaleRun(Scenario scenario, Consumer<String> progress) throws IOException {
        if (!scenario.fits()) {
            throw new IllegalArgumentException("more processes or regions than a run may have");
        }
        this.scenario = scenario;
        this.progress = progress;
        random = new SplittableRandom(scenario.seed());
        cluster = new ScaleCluster(scenario, checker, progress);
    }

    /** Plays it all and judges. */
    public Outcome run() throws IOException, InterruptedException {
        try (RigWatch rig = new RigWatch()) {
            cluster.start();
            startGovernors("all governors at once until in force, ms");
            ChangeLoad load = new ChangeLoad(cluster.fronts(), scenario, checker);
            playChanges(load);
            awaitQuiet();
            figures.put("busiest member, share of a core", busiestMember);
            figures.put("rig, held up at most, ms", (double) rig.latestMillis());
            figures.put(
                    "load average at the end",
                    ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
            ScaleVerdict verdict = checker.verdict();
            figures.put(
                    "in force everywhere, longest ms", (double) verdict.everywhere().getMaxValue());
            figures.put("governors started one by one", (double) startedAlone.getTotalCount());
            figures.put(
                    "one governor started until in force, median ms",
                    (double) startedAlone.getValueAtPercentile(50));
            figures.put(
                    "one governor started until in force, longest ms",
                    (double) startedAlone.getMaxValue());
            return new Outcome(verdict, figures, voidReasons(rig, load));
        }
    }

    private static List<String> voidReasons(RigWatch rig, ChangeLoad load) {
        List<String> reasons = new ArrayList<>();
        if (rig.latestMillis() > RIG_LATE_MILLIS) {
            reasons.add("the rig was held up for " + rig.latestMillis() + " ms");
        }
        if (load.unanswered() > 0) {
            reasons.add(load.unanswered() + " changes were not answered for good");
        }
        return reasons;
    }

    // ---- changes and faults ---------------------------------------------------------------------

    private List<Fault> faults() {
        List<Fault> faults = new ArrayList<>();
        if (scenario.cutMillis() > 0) {
            faults.add(new Fault(CUT_AT, scenario.cutMillis(), () -> cut(true), () -> cut(false)));
        }
        int[] leader = new int[1];
        faults.add(
                new Fault(
                        LEADER_AT,
                        AWAY_MILLIS,
                        () -> {
                            leader[0] = cluster.leader();
                            progress.accept("leader n" + leader[0] + " is killed");
                            cluster.members().kill(leader[0]);
                        },
                        () -> cluster.members().start(leader[0])));
        Region last = cluster.regions().get(scenario.regions() - 1);
        faults.add(
                new Fault(
                        RELAY_AT,
                        AWAY_MILLIS,
                        () -> {
                            progress.accept("a relay is killed");
                            last.killRelay(0);
                        },
                        () -> last.startRelay(0)));
        faults.add(new Fault(ALL_AT, 0, this::restartAll, () -> {}));
        return faults;
    }

    private void playChanges(ChangeLoad load) throws IOException, InterruptedException {
        Thread asking = new Thread(load, "changes");
        asking.setDaemon(true);
        List<Fault> faults = faults();
        int leader = cluster.leader();
        RoleUsage before = cluster.usage(leader);
        long began = HollowController.now();
        asking.start();
        nextKillAt = began + (long) Math.min(Integer.MAX_VALUE, scenario.millisBetweenKills());
        boolean steady = true;
        while (asking.isAlive()) {
            double done = (double) load.asked() / scenario.changes();
            if (steady && done >= CUT_AT) {
                steady = false;
                figures.putAll(before.since(cluster.subscribers()));
            }
            step(faults, done);
        }
        for (long end = HollowController.now() + scenario.cutMillis() + AWAY_MILLIS;
                HollowController.now() < end; ) {
            step(faults, 1);
        }
    }

    private void step(List<Fault> faults, double done) throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
        long now = HollowController.now();
        for (Fault fault : faults) {
            fault.step(done, now);
        }
        if (now > nextKillAt) {
            nextKillAt += (long) scenario.millisBetweenKills();
            HollowController one = cluster.governors().get(random.nextInt(scenario.governors()));
            one.kill();
            one.start(startedAlone);
        }
        if (now > lastSampleAt + SAMPLE_MILLIS) {
            lastSampleAt = now;
            cluster.governors().forEach(HollowController::tellAge);
            sampleMembers();
        }
    }

    private void cut(boolean cut) {
        progress.accept("region " + scenario.cutRegion() + (cut ? " is cut" : " is healed"));
        if (!cut) {
            cluster.regions().get(scenario.cutRegion()).cut(false);
        }
        long now = HollowController.now();
        for (String name : cluster.namesIn(scenario.cutRegion())) {
            checker.saw(
                    cut ? new Observation.CutOff(now, name) : new Observation.Healed(now, name));
        }
        if (cut) {
            cluster.regions().get(scenario.cutRegion()).cut(true);
        }
    }

    private void startGovernors(String figure) throws IOException, InterruptedException {
        long began = HollowController.now();
        cluster.governors().forEach(governor -> governor.start(startedTogether));
        cluster.awaitGovernors();
        figures.put(figure, (double) (HollowController.now() - began));
    }

    private void restartAll() throws IOException, InterruptedException {
        progress.accept("all governors start again");
        cluster.governors().forEach(HollowController::kill);
        startGovernors("all governors again at once until in force, ms");
    }

    /** Waits as long as a change may take, so that what is then missing is lost. */
    private void awaitQuiet() throws InterruptedException {
        long end = HollowController.now() + 2 * ScaleVerdict.IN_FORCE_MILLIS;
        while (HollowController.now() < end) {
            TimeUnit.MILLISECONDS.sleep(SAMPLE_MILLIS);
            cluster.governors().forEach(HollowController::tellAge);
        }
    }

    // ---- measurements ---------------------------------------------------------------------------

    private void sampleMembers() throws IOException {
        double most = 0;
        for (int i = 0; i < Scenario.MEMBERS; i++) {
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
