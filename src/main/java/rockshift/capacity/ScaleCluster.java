package rockshift.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import rockshift.cluster.ClusterClient;
import rockshift.distribution.Item;
import rockshift.distribution.Scope;
import rockshift.distribution.wire.DistributionReactor;
import rockshift.testkit.ControllerProcesses;

/**
 * Five members as processes, relays as processes, some real controllers, and many lightweight ones
 * in this process, on loopback. It owns all that it starts, and ends it also when this program is
 * ended.
 */
final class ScaleCluster implements AutoCloseable {
    private static final String ELECTION = "1s";

    /** Lightweight controllers that share two threads. */
    private static final int CONTROLLERS_PER_REACTOR = 325;

    private static final long START_TIMEOUT_MILLIS = 120_000;

    private final ScaleScenario scenario;
    private final ScaleChecker checker;
    private final Consumer<String> progress;
    private final Path folder = Files.createTempDirectory("rockshift-scale-run");
    private final SplittableRandom random;
    private final ControllerProcesses members;
    private final List<Region> regions = new ArrayList<>();
    private final List<DistributionReactor> reactors = new ArrayList<>();
    private final List<LightweightController> controllers = new ArrayList<>();
    private final List<ControllerInRegion> processes = new ArrayList<>();

    /** Items that many controllers hold, kept once. */
    private final Map<Item, Item> items = new ConcurrentHashMap<>();

    private final Thread shutdownHook = new Thread(this::deleteFolder);

    ScaleCluster(ScaleScenario scenario, ScaleChecker checker, Consumer<String> progress)
            throws IOException {
        this.scenario = scenario;
        this.checker = checker;
        this.progress = progress;
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        random = new SplittableRandom(scenario.seed());
        members =
                new ControllerProcesses(
                        folder,
                        ScaleScenario.MEMBERS,
                        ELECTION,
                        scenario.seed(),
                        (member, life, line) -> {});
    }

    ControllerProcesses members() {
        return members;
    }

    List<Region> regions() {
        return regions;
    }

    List<LightweightController> controllers() {
        return controllers;
    }

    /** Controllers of both kinds. */
    int subscribers() {
        return controllers.size() + processes.size();
    }

    /** Where members take commands. */
    List<String> memberAddresses() {
        List<String> fronts = new ArrayList<>();
        for (int i = 0; i < ScaleScenario.MEMBERS; i++) {
            fronts.add(members.clientAddress(i));
        }
        return fronts;
    }

    /** Starts members, relays and real controllers; lightweight ones are there and not started. */
    void start() throws IOException, InterruptedException {
        for (int i = 0; i < ScaleScenario.MEMBERS; i++) {
            members.start(i);
        }
        progress.accept(ScaleScenario.MEMBERS + " members serve");
        List<Integer> ports =
                memberAddresses().stream()
                        .map(front -> Integer.parseInt(front.split(":")[1]))
                        .toList();
        for (int i = 0; i < scenario.regions(); i++) {
            regions.add(new Region("region-" + i, folder, ports, scenario.seed() + i));
        }
        for (Region region : regions) {
            startRelays(region);
        }
        progress.accept(Region.RELAYS * regions.size() + " relays serve");
        for (int i = 0; i < scenario.processes(); i++) {
            processes.add(
                    new ControllerInRegion(
                            "process-" + i,
                            folder,
                            regions.get(i % regions.size()).upstreams(i),
                            checker));
        }
        for (int i = 0; i < scenario.controllers(); i++) {
            controllers.add(createController(i));
        }
    }

    private static void startRelays(Region region) throws IOException, InterruptedException {
        for (int i = 0; i < Region.RELAYS; i++) {
            region.startRelay(i);
        }
        for (int i = 0; i < Region.RELAYS; i++) {
            region.awaitRelay(i);
        }
    }

    private int regionOf(int controller) {
        return controller % scenario.regions();
    }

    private LightweightController createController(int number) {
        if (number % CONTROLLERS_PER_REACTOR == 0) {
            reactors.add(new DistributionReactor());
        }
        int zone =
                regionOf(number)
                        + scenario.regions()
                                * random.nextInt(ScaleScenario.ZONES / scenario.regions());
        Scope scope =
                Scope.of(
                        Set.of(ScaleScenario.service(random.nextInt(ScaleScenario.SERVICES))),
                        Set.of(ScaleScenario.zone(zone)));
        return new LightweightController(
                "g-" + number,
                scope,
                regions.get(regionOf(number)).upstreams(number / scenario.regions()),
                reactors.get(reactors.size() - 1),
                checker,
                item -> items.computeIfAbsent(item, one -> one),
                random.nextLong());
    }

    /** Waits until each lightweight controller holds something. */
    void awaitStates() throws IOException, InterruptedException {
        long end = LightweightController.nowMillis() + START_TIMEOUT_MILLIS;
        while (!controllers.stream().allMatch(LightweightController::hasState)) {
            if (LightweightController.nowMillis() > end) {
                throw new IOException(
                        controllers.stream().filter(one -> !one.hasState()).count()
                                + " governors hold nothing after "
                                + START_TIMEOUT_MILLIS
                                + " ms");
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    /** The controllers of a region, lightweight and real. */
    List<String> namesIn(int region) {
        List<String> names = new ArrayList<>();
        for (int i = region; i < controllers.size(); i += scenario.regions()) {
            names.add(controllers.get(i).name());
        }
        for (int i = region; i < processes.size(); i += scenario.regions()) {
            names.add(processes.get(i).name());
        }
        return names;
    }

    /** The number of the member that leads, or 0 while none says so. */
    int leader() throws IOException {
        try (ClusterClient client = new ClusterClient(memberAddresses(), random.split(), 1_000)) {
            for (var status : client.statuses().entrySet()) {
                if (status.getValue().path("role").asText().equals("leader")) {
                    return memberAddresses().indexOf(status.getKey());
                }
            }
        }
        return 0;
    }

    /** What the processes of each role used so far. */
    RoleUsage usage(int leader) throws IOException {
        RoleUsage usage = new RoleUsage();
        for (Region region : regions) {
            for (int i = 0; i < Region.RELAYS; i++) {
                usage.add(RoleUsage.RELAY, region.pid(i));
            }
        }
        for (int i = 0; i < ScaleScenario.MEMBERS; i++) {
            usage.add(i == leader ? "leader" : "follower", members.pid(i));
        }
        for (ControllerInRegion process : processes) {
            usage.add("real governor", process.pid());
        }
        return usage;
    }

    private void deleteFolder() {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException gone) {
            // Nothing is left of it.
        }
    }

    @Override
    public void close() throws IOException, InterruptedException {
        controllers.forEach(LightweightController::close);
        for (DistributionReactor reactor : reactors) {
            reactor.close();
        }
        for (ControllerInRegion process : processes) {
            process.close();
        }
        for (Region region : regions) {
            region.close();
        }
        members.close();
        deleteFolder();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}
