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
 * The cluster of a {@link ScaleRun} on loopback: five members, relays and some real controllers,
 * each in its own process, and many lightweight controllers in this process. It owns all that it
 * starts; child processes and files are also removed when this JVM shuts down.
 */
final class ScaleCluster implements AutoCloseable {
    private static final String ELECTION = "1s";

    /** The number of lightweight controllers that share a reactor's two threads. */
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
    private final List<ControllerInRegion> realControllers = new ArrayList<>();

    /** Interned items, so that controllers share equal ones. */
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
                        (member, incarnation, line) -> {});
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

    /** The number of controllers of both kinds. */
    int subscribers() {
        return controllers.size() + realControllers.size();
    }

    /** The addresses at which members accept commands. */
    List<String> memberAddresses() {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < ScaleScenario.MEMBERS; i++) {
            addresses.add(members.clientAddress(i));
        }
        return addresses;
    }

    /** Starts members, relays and real controllers, and creates the lightweight controllers. */
    void start() throws IOException, InterruptedException {
        for (int i = 0; i < ScaleScenario.MEMBERS; i++) {
            members.start(i);
        }
        progress.accept(ScaleScenario.MEMBERS + " members are serving");
        List<Integer> ports =
                memberAddresses().stream()
                        .map(address -> Integer.parseInt(address.split(":")[1]))
                        .toList();
        for (int i = 0; i < scenario.regions(); i++) {
            regions.add(new Region("region-" + i, folder, ports, scenario.seed() + i));
        }
        for (Region region : regions) {
            startRelays(region);
        }
        progress.accept(Region.RELAYS * regions.size() + " relays are serving");
        for (int i = 0; i < scenario.processes(); i++) {
            realControllers.add(
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
                item -> items.computeIfAbsent(item, key -> key),
                random.nextLong());
    }

    /**
     * Waits until every lightweight controller has a state.
     *
     * @throws IOException if one has none after 120 s
     */
    void awaitStates() throws IOException, InterruptedException {
        long deadlineMillis = LightweightController.nowMillis() + START_TIMEOUT_MILLIS;
        while (!controllers.stream().allMatch(LightweightController::hasState)) {
            if (LightweightController.nowMillis() > deadlineMillis) {
                throw new IOException(
                        controllers.stream().filter(controller -> !controller.hasState()).count()
                                + " controllers have no state after "
                                + START_TIMEOUT_MILLIS
                                + " ms");
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    /** The names of a region's lightweight and real controllers. */
    List<String> namesIn(int region) {
        List<String> names = new ArrayList<>();
        for (int i = region; i < controllers.size(); i += scenario.regions()) {
            names.add(controllers.get(i).name());
        }
        for (int i = region; i < realControllers.size(); i += scenario.regions()) {
            names.add(realControllers.get(i).name());
        }
        return names;
    }

    /** Returns the index of the leader, or 0 if no member reports that it is leader. */
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

    /** Reads the current usage of the processes of each role. */
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
        for (ControllerInRegion controller : realControllers) {
            usage.add("real governor", controller.pid());
        }
        return usage;
    }

    private void deleteFolder() {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException deleted) {
            // The folder is already deleted.
        }
    }

    @Override
    public void close() throws IOException, InterruptedException {
        controllers.forEach(LightweightController::close);
        for (DistributionReactor reactor : reactors) {
            reactor.close();
        }
        for (ControllerInRegion controller : realControllers) {
            controller.close();
        }
        for (Region region : regions) {
            region.close();
        }
        members.close();
        deleteFolder();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}
