package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.TestEndpoints.zoneOf;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import rockshift.model.ClassSet;
import rockshift.model.ControlScope;
import rockshift.model.Endpoint;
import rockshift.model.Ticks;
import rockshift.settings.AdmissionMode;
import rockshift.settings.ClassSettings;
import rockshift.settings.PlannerSettings;
import rockshift.settings.SettingOverrides;

/**
 * Controller on a fake clock. It passes events to a real {@link Planner} and applies the planner's
 * commands to its own tables, admission levels and channel. Replicas and proxies are in two zones;
 * replicas with odd numbers in the east.
 */
final class FakeController implements ProxyCommands {
    static final long SECOND = Ticks.TICKS_PER_SECOND;
    static final String SEARCH = "search";
    static final String CHECKOUT = "checkout";

    private static final long START_TICKS = 100 * SECOND;
    private static final long DEFAULT_SEED = 7;
    private static final int STEPS_PER_SECOND = 10;

    private final Planner planner;
    private final FakeChannel channel;
    private long nowTicks = START_TICKS;

    private final TreeMap<Integer, TreeMap<Long, Double>> tables = new TreeMap<>();
    private final Map<Integer, Double> admissionLevels = new HashMap<>();
    private final List<SentCommand> commands = new ArrayList<>();
    private final List<String> logLines = new ArrayList<>();
    private final TreeSet<Long> forgottenReplicas = new TreeSet<>();

    private final TreeSet<Integer> boundProxies = new TreeSet<>();

    /** By proxy, the table that it was bound to last. */
    private final Map<Integer, Integer> tableOfProxy = new HashMap<>();

    /** By proxy, the classes that each of its tables is for. */
    private final Map<Integer, Set<ClassSet>> boundClasses = new HashMap<>();

    private int messagesPerTurn = 1;

    private int lastSerial;
    private boolean acknowledging = true;
    private final TreeSet<Integer> unresponsiveProxies = new TreeSet<>();

    private FakeController(long seed, Consumer<PlannerSettings.Builder> customizer) {
        PlannerSettings.Builder builder = defaultSettings();
        customizer.accept(builder);
        PlannerSettings settings = builder.build();
        channel = new FakeChannel(settings);
        planner = new Planner(nowTicks, seed, settings);
    }

    private static PlannerSettings.Builder defaultSettings() {
        return PlannerSettings.newBuilder()
                .zones(List.of("east", "west"))
                .classes(List.of(ClassSettings.named(SEARCH).priorityWeight(1).build()))
                .initialSlowStartFraction(0.2)
                .slowStartTicks(10 * SECOND)
                .messageOverheadEntries(3)
                .channelEntriesPerSecond(5_000)
                .channelQueueLimitEntries(5_000)
                .drainGraceTicks(3 * SECOND)
                .admissionMode(AdmissionMode.FRACTION)
                .slowStartOverloadMultiple(3);
    }

    /** A controller with two zones and one class, without replicas and proxies. */
    static FakeController create() {
        return with(settings -> {});
    }

    /** A controller with customized settings. */
    static FakeController with(Consumer<PlannerSettings.Builder> customizer) {
        return new FakeController(DEFAULT_SEED, customizer);
    }

    /** A controller with 60 replicas and 60 proxies, whose channel has no room for full tables. */
    static FakeController largeFleet() {
        return largeFleet(settings -> {});
    }

    /** The same large fleet with customized settings. */
    static FakeController largeFleet(Consumer<PlannerSettings.Builder> customizer) {
        return largeFleet(DEFAULT_SEED, customizer);
    }

    /** The same large fleet with another seed of the planner's random choices. */
    static FakeController largeFleet(long seed) {
        return largeFleet(seed, settings -> {});
    }

    private static FakeController largeFleet(
            long seed, Consumer<PlannerSettings.Builder> customizer) {
        Consumer<PlannerSettings.Builder> large =
                settings ->
                        settings.expectedProxies(60)
                                .idleCloseTicks(15 * SECOND)
                                .channelQueueLimitEntries(1_500)
                                .channelEntriesPerSecond(1_000);
        return new FakeController(seed, large.andThen(customizer)).start(60, 60, 3);
    }

    /** Classes with the default settings. */
    static List<ClassSettings> classes(String... names) {
        return List.of(names).stream().map(name -> ClassSettings.named(name).build()).toList();
    }

    /** Lists replicas 1 to a count, all started, and connects a proxy in each zone. */
    FakeController start(int replicas) {
        return start(replicas, 2, 10);
    }

    /** The same with a number of proxies: even numbers in the east, odd ones in the west. */
    FakeController start(int replicas, int proxies, double baselineRate) {
        listEndpoints(LongStream.rangeClosed(1, replicas).mapToObj(TestEndpoints::ready).toList());
        for (int proxy = 0; proxy < proxies; proxy++) {
            joinProxy(proxy, proxy % 2 == 0 ? "east" : "west", baselineRate);
        }
        return runTurn();
    }

    /** Discovery lists all endpoints. */
    void listEndpoints(List<Endpoint> endpoints) {
        planner.updateEndpoints(nowTicks, endpoints, false);
    }

    /** Discovery lists endpoints that changed. */
    void changeEndpoints(Endpoint... changes) {
        changeEndpoints(List.of(changes));
    }

    /** Discovery lists endpoints that changed. */
    void changeEndpoints(List<Endpoint> changes) {
        planner.updateEndpoints(nowTicks, changes, true);
    }

    /** A proxy connects for the first time. */
    void joinProxy(int proxy, String zone, double baselineRate) {
        planner.proxyJoined(nowTicks, proxy, zone, baselineRate, false);
    }

    /** A proxy connects that has the tables of another controller. */
    void joinProxyWithTables(int proxy, String zone, double baselineRate) {
        planner.proxyJoined(nowTicks, proxy, zone, baselineRate, true);
    }

    /** A proxy connects again, and is bound to none of this controller's tables. */
    void rejoinProxy(int proxy, String zone, double baselineRate) {
        tableOfProxy.remove(proxy);
        boundProxies.remove(proxy);
        joinProxy(proxy, zone, baselineRate);
    }

    /** A proxy's connection ends. */
    void disconnectProxy(int proxy) {
        planner.proxyLeft(nowTicks, proxy);
    }

    /** The proxies of a zone report their attempts at a replica. */
    void reportReplica(String zone, ReplicaReport report, long periodTicks) {
        planner.recordLoadReport(
                nowTicks,
                zone,
                report.replica(),
                report.attempts(),
                report.failures(),
                report.meanLatencyTicks(),
                periodTicks,
                report.utilization());
    }

    /** A proxy reports the requests of a class that it received. */
    void reportUsage(int proxy, String className, int requests, long periodTicks) {
        reportUsage(proxy, className, requests, 0, periodTicks);
    }

    /** The same for requests of which the proxy could not serve some. */
    void reportUsage(int proxy, String className, int requests, int failures, long periodTicks) {
        planner.recordUsage(nowTicks, proxy, className, requests, failures, periodTicks);
    }

    /** Operators agree on drains: by replica, the last start time that its drain applies to. */
    void agreeOnDrains(long version, Map<Long, Long> drains) {
        planner.applyAgreedChanges(nowTicks, version, drains, SettingOverrides.NONE);
    }

    /** Sets whether the agreed changes that were applied are up to date. */
    void setAgreedStateKnown(boolean known) {
        planner.setAgreedStateKnown(nowTicks, known);
    }

    void setControlScope(ControlScope scope) {
        planner.setControlScope(nowTicks, scope);
    }

    long nowTicks() {
        return nowTicks;
    }

    void advanceTicks(long ticks) {
        nowTicks += ticks;
    }

    /** Runs the planner until it has no more commands; discards the commands of earlier turns. */
    FakeController runTurn() {
        commands.clear();
        channel.beginTurn();
        boolean more = true;
        while (more) {
            more = planner.decideNext(this);
        }
        return this;
    }

    /** Advances the time in steps of 0.1 s, in which the channel drains and proxies acknowledge. */
    FakeController runFor(double seconds) {
        long endTicks = nowTicks + (long) (seconds * SECOND);
        while (nowTicks < endTicks) {
            nowTicks += SECOND / STEPS_PER_SECOND;
            channel.drainFor(STEPS_PER_SECOND);
            if (acknowledging) {
                boundProxies.stream()
                        .filter(proxy -> !unresponsiveProxies.contains(proxy))
                        .forEach(proxy -> planner.proxyAcknowledged(nowTicks, proxy, lastSerial));
            }
            planner.timerFired(nowTicks);
            runTurn();
        }
        return this;
    }

    /**
     * Passes on reports of one second, then advances by it. Proxies 0 and 1 report half the
     * attempts each.
     */
    FakeController runSecond(ReplicaReport... reports) {
        int attempts = 0;
        for (ReplicaReport report : reports) {
            reportReplica(zoneOf(report.replica()), report, SECOND);
            attempts += report.attempts();
        }
        reportUsage(0, SEARCH, attempts / 2, SECOND);
        reportUsage(1, SEARCH, attempts / 2, SECOND);
        return runFor(1);
    }

    /** The same for a number of seconds. */
    FakeController runSeconds(int seconds, ReplicaReport... reports) {
        for (int second = 0; second < seconds; second++) {
            runSecond(reports);
        }
        return this;
    }

    /** By number, the weights of each table by replica. */
    TreeMap<Integer, TreeMap<Long, Double>> tables() {
        return tables;
    }

    TreeMap<Long, Double> table(int table) {
        return tables.get(table);
    }

    /** The table that a proxy was bound to last. */
    TreeMap<Long, Double> tableOf(int proxy) {
        return tables.get(tableNumberOf(proxy));
    }

    int tableNumberOf(int proxy) {
        return tableOfProxy.get(proxy);
    }

    /** A replica's fraction of the weights of a table. */
    double weightFraction(int table, long replica) {
        return tables.get(table).getOrDefault(replica, 0.0)
                / tables.get(table).values().stream().mapToDouble(weight -> weight).sum();
    }

    /** By table, the admission level that was set last. */
    Map<Integer, Double> admissionLevels() {
        return admissionLevels;
    }

    /** The admission level of a table; all requests are admitted where none was set. */
    double admissionLevel(int table) {
        return admissionLevels.getOrDefault(table, 1.0);
    }

    /** The commands of the last turn. */
    List<SentCommand> commands() {
        return commands;
    }

    /** The commands of the last turn that are of one kind. */
    <T extends SentCommand> List<T> commands(Class<T> kind) {
        return commands.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    List<String> logLines() {
        return logLines;
    }

    TreeSet<Long> forgottenReplicas() {
        return forgottenReplicas;
    }

    TreeSet<Integer> boundProxies() {
        return boundProxies;
    }

    Map<Integer, Set<ClassSet>> boundClasses() {
        return boundClasses;
    }

    FakeChannel channel() {
        return channel;
    }

    /** Whether proxies acknowledge messages. */
    void setAcknowledging(boolean value) {
        acknowledging = value;
    }

    /** Stops the acknowledgements of these proxies. */
    void stopAcknowledging(Integer... proxies) {
        unresponsiveProxies.addAll(List.of(proxies));
    }

    /** Sets how many messages the commands of one turn for a proxy take. */
    void setMessagesPerTurn(int value) {
        messagesPerTurn = value;
    }

    private void enqueueToBoundProxies(int table) {
        tableOfProxy.forEach(
                (proxy, boundTable) -> {
                    if (boundTable == table) {
                        channel.enqueue(proxy, 1);
                    }
                });
    }

    @Override
    public int setTableEntry(int table, long replica, double weight) {
        commands.add(new SentCommand.TableEntry(table, replica));
        TreeMap<Long, Double> entries = tables.computeIfAbsent(table, added -> new TreeMap<>());
        if (weight == 0) {
            entries.remove(replica);
        } else {
            entries.put(replica, weight);
        }
        enqueueToBoundProxies(table);
        return 1;
    }

    @Override
    public int bindProxy(int table, int proxy, ClassSet classes) {
        commands.add(new SentCommand.Binding(table, proxy, classes));
        boundProxies.add(proxy);
        tableOfProxy.put(proxy, table);
        Set<ClassSet> bound = boundClasses.computeIfAbsent(proxy, added -> new HashSet<>());
        if (classes.isAll() || bound.contains(ClassSet.all())) {
            bound.clear();
        }
        bound.add(classes);
        channel.enqueue(proxy, tables.get(table).size() + 2);
        return 0;
    }

    @Override
    public void setAdmissionLevel(int table, ClassSet classes, double level, int retryMode) {
        commands.add(new SentCommand.Level(table, level, retryMode));
        admissionLevels.put(table, level);
        enqueueToBoundProxies(table);
    }

    @Override
    public int notifyDraining(long replica, boolean draining, int proxy) {
        commands.add(new SentCommand.DrainNotice(replica, draining, proxy));
        channel.enqueue(proxy, 1);
        return 1;
    }

    @Override
    public int messageCount(int proxy) {
        return messagesPerTurn;
    }

    @Override
    public void requestAcknowledgement(int serial) {
        commands.add(new SentCommand.Acknowledgement(serial));
        lastSerial = serial;
    }

    @Override
    public void wakeAfter(long delayTicks) {
        commands.add(new SentCommand.WakeUp(delayTicks));
    }

    @Override
    public void forgetReplica(long replica) {
        forgottenReplicas.add(replica);
        tables.values().forEach(entries -> assertThat(entries).doesNotContainKey(replica));
    }

    @Override
    public void log(String line) {
        logLines.add(line);
    }
}
