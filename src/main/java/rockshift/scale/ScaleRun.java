package rockshift.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import rockshift.cluster.Client;
import rockshift.cluster.DistributionReactor;
import rockshift.distribution.Item;
import rockshift.distribution.Scope;
import rockshift.kit.GovernorProcesses;
import rockshift.kit.ProcessUsage;

/**
 * Five members as processes, relays as processes, and many hollow governors in this one, on loopback, under
 * changes and faults.
 * What all of them saw goes to a {@link ScaleChecker}. It owns all that it starts, and ends it also when it
 * is ended.
 */
public final class ScaleRun implements AutoCloseable {
    private static final String ELECTION = "1s";
    /** Hollow governors that share two threads. */
    private static final int GOVERNORS_PER_REACTOR = 325;
    private static final long START_MILLIS = 120_000;
    private static final long STEP_MILLIS = 100;
    private static final long SAMPLE_MILLIS = 1_000;
    /** How long a member or relay stays away after it was killed. */
    private static final long AWAY_MILLIS = 2_000;
    /** Ms for which this program may be held up before a run is void: a tenth of what a change may take. */
    private static final long RIG_LATE_MILLIS = ScaleVerdict.IN_FORCE_MILLIS / 10;
    /** Shares of the changes after which each fault comes. */
    private static final double CUT_AT = 0.2;
    private static final double LEADER_AT = 0.5;
    private static final double RELAY_AT = 0.65;
    private static final double ALL_AT = 0.8;

    /** What came of a run; figures by name, in their order. */
    public record Outcome(ScaleVerdict verdict, Map<String, Double> figures, List<String> voidReasons) {
        /** The last line of a run. */
        public String line() {
            return verdict.line(figures.get("busiest member, share of a core"),
                    figures.get("governor, bytes a second"));
        }

        public boolean held() {
            return verdict.held() && voidReasons.isEmpty();
        }
    }

    private final Scenario scenario;
    private final Path folder;
    private final Consumer<String> progress;
    private final ScaleChecker checker = new ScaleChecker();
    private final SplittableRandom random;
    private final GovernorProcesses members;
    private final List<Region> regions = new ArrayList<>();
    private final List<DistributionReactor> reactors = new ArrayList<>();
    private final List<HollowGovernor> governors = new ArrayList<>();
    private final List<GovernorInRegion> processes = new ArrayList<>();
    private final Map<Item, Item> items = new ConcurrentHashMap<>();
    private final Map<Long, ProcessUsage> lastUsage = new HashMap<>();
    private final Map<String, Double> figures = new LinkedHashMap<>();
    private final Thread atEnd = new Thread(this::deleteFolder);
    private double busiestMember;
    private long lastSampleAt;
    private long nextKillAt;

    public ScaleRun(Scenario scenario, Consumer<String> progress) throws IOException {
        if (!scenario.fits()) {
            throw new IllegalArgumentException("more processes or regions than a run may have");
        }
        this.scenario = scenario;
        this.progress = progress;
        folder = Files.createTempDirectory("rockshift-scale-run");
        Runtime.getRuntime().addShutdownHook(atEnd);
        random = new SplittableRandom(scenario.seed());
        members = new GovernorProcesses(folder, Scenario.MEMBERS, ELECTION, scenario.seed(),
                (member, life, line) -> {});
    }

    /** Plays it all and judges. */
    public Outcome run() throws IOException, InterruptedException {
        try (RigWatch rig = new RigWatch()) {
            startAll();
            ChangeLoad load = new ChangeLoad(fronts(), scenario, checker);
            playChanges(load);
            awaitQuiet();
            figures.put("busiest member, share of a core", busiestMember);
            figures.put("rig, held up at most, ms", (double) rig.latestMillis());
            figures.put("load average at the end",
                    ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
            ScaleVerdict verdict = checker.verdict();
            figures.put("in force everywhere, longest ms", (double) verdict.everywhere().getMaxValue());
            figures.put("start of a governor until in force, p99 ms",
                    (double) verdict.restarts().getValueAtPercentile(99));
            figures.put("start of a governor until in force, longest ms",
                    (double) verdict.restarts().getMaxValue());
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

    // ---- start ----------------------------------------------------------------------------------

    private List<String> fronts() {
        List<String> fronts = new ArrayList<>();
        for (int i = 0; i < Scenario.MEMBERS; i++) {
            fronts.add(members.front(i));
        }
        return fronts;
    }

    private void startAll() throws IOException, InterruptedException {
        for (int i = 0; i < Scenario.MEMBERS; i++) {
            members.start(i);
        }
        progress.accept(Scenario.MEMBERS + " members serve");
        List<Integer> ports = fronts().stream().map(front -> Integer.parseInt(front.split(":")[1])).toList();
        for (int i = 0; i < scenario.regions(); i++) {
            regions.add(new Region("region-" + i, folder, ports, scenario.seed() + i));
        }
        for (Region region : regions) {
            startRelays(region);
        }
        progress.accept(Region.RELAYS * regions.size() + " relays serve");
        for (int i = 0; i < scenario.processes(); i++) {
            processes.add(new GovernorInRegion("process-" + i, folder,
                    regions.get(i % regions.size()).upstreams(i), checker));
        }
        for (int i = 0; i < scenario.governors(); i++) {
            governors.add(governor(i));
        }
        long began = HollowGovernor.now();
        governors.forEach(HollowGovernor::start);
        awaitAll(began);
        figures.put("all governors at once until in force, ms", (double) (HollowGovernor.now() - began));
        progress.accept(governors.size() + " governors hold their state");
    }

    private static void startRelays(Region region) throws IOException, InterruptedException {
        for (int i = 0; i < Region.RELAYS; i++) {
            region.startRelay(i);
        }
        for (int i = 0; i < Region.RELAYS; i++) {
            region.awaitRelay(i);
        }
    }

    private int regionOf(int governor) {
        return governor % scenario.regions();
    }

    private HollowGovernor governor(int number) {
        if (number % GOVERNORS_PER_REACTOR == 0) {
            reactors.add(new DistributionReactor());
        }
        int zone =
                regionOf(number) + scenario.regions() * random.nextInt(Scenario.ZONES / scenario.regions());
        Scope scope = Scope.of(Set.of(Scenario.service(random.nextInt(Scenario.SERVICES))),
                Set.of(Scenario.zone(zone)));
        return new HollowGovernor("g-" + number, scope,
                regions.get(regionOf(number)).upstreams(number / scenario.regions()),
                reactors.get(reactors.size() - 1), checker,
                item -> items.computeIfAbsent(item, one -> one), random.nextLong());
    }

    private void awaitAll(long began) throws IOException, InterruptedException {
        while (!governors.stream().allMatch(HollowGovernor::holdsSomething)) {
            if (HollowGovernor.now() > began + START_MILLIS) {
                throw new IOException(governors.stream().filter(one -> !one.holdsSomething()).count()
                        + " governors hold nothing after " + START_MILLIS + " ms");
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    // ---- changes and faults ---------------------------------------------------------------------

    /** A fault that comes once a share of the changes was asked for, and what ends it some time later. */
    private final class Fault {
        private final double share;
        private final long lasts;
        private final Step begin;
        private final Step end;
        private long begunAt;
        private boolean over;

        private interface Step {
            void run() throws IOException, InterruptedException;
        }

        Fault(double share, long lasts, Step begin, Step end) {
            this.share = share;
            this.lasts = lasts;
            this.begin = begin;
            this.end = end;
        }

        void step(double done, long now) throws IOException, InterruptedException {
            if (begunAt == 0 && done >= share) {
                begunAt = now;
                begin.run();
            } else if (begunAt > 0 && !over && now > begunAt + lasts) {
                over = true;
                end.run();
            }
        }
    }

    private List<Fault> faults() {
        List<Fault> faults = new ArrayList<>();
        if (scenario.cutMillis() > 0) {
            faults.add(new Fault(CUT_AT, scenario.cutMillis(), () -> cut(true), () -> cut(false)));
        }
        int[] leader = new int[1];
        faults.add(new Fault(LEADER_AT, AWAY_MILLIS, () -> {
            leader[0] = leader();
            progress.accept("leader n" + leader[0] + " is killed");
            members.kill(leader[0]);
        }, () -> members.start(leader[0])));
        Region last = regions.get(regions.size() - 1);
        faults.add(new Fault(RELAY_AT, AWAY_MILLIS, () -> {
            progress.accept("a relay is killed");
            last.killRelay(0);
        }, () -> last.startRelay(0)));
        faults.add(new Fault(ALL_AT, 0, this::restartAll, () -> {}));
        return faults;
    }

    private void playChanges(ChangeLoad load) throws IOException, InterruptedException {
        Thread asking = new Thread(load, "changes");
        asking.setDaemon(true);
        List<Fault> faults = faults();
        int leader = leader();
        Map<Place, ProcessUsage> before = usage(leader);
        long began = HollowGovernor.now();
        asking.start();
        nextKillAt = began + (long) Math.min(Integer.MAX_VALUE, scenario.millisBetweenKills());
        boolean steady = true;
        while (asking.isAlive()) {
            double done = (double) load.asked() / scenario.changes();
            if (steady && done >= CUT_AT) {
                steady = false;
                tellSteady(before, leader, began);
            }
            step(faults, done);
        }
        for (long end = HollowGovernor.now() + scenario.cutMillis() + AWAY_MILLIS;
                HollowGovernor.now() < end;) {
            step(faults, 1);
        }
    }

    private void step(List<Fault> faults, double done) throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
        long now = HollowGovernor.now();
        for (Fault fault : faults) {
            fault.step(done, now);
        }
        if (now > nextKillAt) {
            nextKillAt += (long) scenario.millisBetweenKills();
            HollowGovernor one = governors.get(random.nextInt(governors.size()));
            one.kill();
            one.start();
        }
        if (now > lastSampleAt + SAMPLE_MILLIS) {
            lastSampleAt = now;
            governors.forEach(HollowGovernor::tellAge);
            sampleMembers();
        }
    }

    private void cut(boolean cut) {
        progress.accept("region " + scenario.cutRegion() + (cut ? " is cut" : " is healed"));
        if (!cut) {
            regions.get(scenario.cutRegion()).cut(false);
        }
        long now = HollowGovernor.now();
        for (String name : namesIn(scenario.cutRegion())) {
            checker.saw(cut ? new Observation.CutOff(now, name) : new Observation.Healed(now, name));
        }
        if (cut) {
            regions.get(scenario.cutRegion()).cut(true);
        }
    }

    private List<String> namesIn(int region) {
        List<String> names = new ArrayList<>();
        for (int i = region; i < governors.size(); i += scenario.regions()) {
            names.add(governors.get(i).name());
        }
        for (int i = region; i < processes.size(); i += scenario.regions()) {
            names.add(processes.get(i).name());
        }
        return names;
    }

    private int leader() throws IOException {
        try (Client client = new Client(fronts(), random.split(), 1_000)) {
            for (var status : client.statuses().entrySet()) {
                if (status.getValue().path("role").asText().equals("leader")) {
                    return fronts().indexOf(status.getKey());
                }
            }
        }
        return 0;
    }

    private void restartAll() throws IOException, InterruptedException {
        progress.accept("all governors start again");
        long began = HollowGovernor.now();
        governors.forEach(HollowGovernor::kill);
        governors.forEach(HollowGovernor::start);
        awaitAll(began);
        figures.put("all governors again at once until in force, ms",
                (double) (HollowGovernor.now() - began));
    }

    /** Waits as long as a change may take, so that what is then missing is lost. */
    private void awaitQuiet() throws InterruptedException {
        long end = HollowGovernor.now() + 2 * ScaleVerdict.IN_FORCE_MILLIS;
        while (HollowGovernor.now() < end) {
            TimeUnit.MILLISECONDS.sleep(SAMPLE_MILLIS);
            governors.forEach(HollowGovernor::tellAge);
        }
    }

    // ---- measurements ---------------------------------------------------------------------------

    private void sampleMembers() throws IOException {
        double most = 0;
        for (int i = 0; i < Scenario.MEMBERS; i++) {
            if (members.runs(i)) {
                ProcessUsage now = ProcessUsage.of(members.pid(i));
                ProcessUsage before = lastUsage.put(members.pid(i), now);
                most = Math.max(most, before == null ? 0 : now.coreShareSince(before));
            }
        }
        busiestMember = Math.max(busiestMember, most);
    }

    /** What each relay, member and real governor has used so far, by its place and process. */
    private Map<Place, ProcessUsage> usage(int leader) throws IOException {
        Map<Place, ProcessUsage> usage = new HashMap<>();
        for (Region region : regions) {
            for (int i = 0; i < Region.RELAYS; i++) {
                usage.put(new Place("relay", region.pid(i)), ProcessUsage.of(region.pid(i)));
            }
        }
        for (int i = 0; i < Scenario.MEMBERS; i++) {
            usage.put(new Place(i == leader ? "leader" : "follower", members.pid(i)),
                    ProcessUsage.of(members.pid(i)));
        }
        for (GovernorInRegion process : processes) {
            usage.put(new Place("real governor", process.pid()), ProcessUsage.of(process.pid()));
        }
        return usage;
    }

    /** What a process is there for. */
    private record Place(String role, long pid) {}

    /**
     * What each role uses between the start of the changes and the first fault: the most of its processes.
     */
    private void tellSteady(Map<Place, ProcessUsage> before, int leader, long began) throws IOException {
        double seconds = (HollowGovernor.now() - began) / 1_000.0;
        double served = 0;
        for (Map.Entry<Place, ProcessUsage> each : usage(leader).entrySet()) {
            ProcessUsage then = before.get(each.getKey());
            ProcessUsage now = each.getValue();
            String role = each.getKey().role();
            double read = (now.bytesRead() - then.bytesRead()) / seconds;
            double written = (now.bytesWritten() - then.bytesWritten()) / seconds;
            served += role.equals("relay") ? read + written : 0;
            figures.merge(role + ", share of a core", now.coreShareSince(then), Math::max);
            figures.merge(role + ", bytes a second read", read, Math::max);
            figures.merge(role + ", bytes a second written", written, Math::max);
            figures.merge(role + ", most MB resident", now.peakMegabytes(), Math::max);
        }
        figures.put("governor, bytes a second", served / (governors.size() + processes.size()));
        figures.put("steady for, s", seconds);
    }

    // ---- end ------------------------------------------------------------------------------------

    private void deleteFolder() {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException gone) {
            // Nothing is left of it.
        }
    }

    @Override
    public void close() throws IOException, InterruptedException {
        governors.forEach(HollowGovernor::close);
        for (DistributionReactor reactor : reactors) {
            reactor.close();
        }
        for (GovernorInRegion process : processes) {
            process.close();
        }
        for (Region region : regions) {
            region.close();
        }
        members.close();
        deleteFolder();
        Runtime.getRuntime().removeShutdownHook(atEnd);
    }
}
