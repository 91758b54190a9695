package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.DoubleConsumer;
import rockshift.model.ClassSet;
import rockshift.model.Endpoint;
import rockshift.settings.AdmissionMode;
import rockshift.settings.ClassSettings;
import rockshift.settings.PlannerSettings;

/** A host that carries orders out on paper: what tables, levels and messages there would be. */
final class FakeHost implements ProxyCommands {
    static final long SECOND = 10_000;
    private static final String[] USUAL = {
        "zones",
        "east,west",
        "classes",
        "1",
        "class.0.name",
        "cut",
        "class.0.benefit",
        "1",
        "cold.share",
        "0.2",
        "warm.after",
        "100000",
        "message.head",
        "3",
        "channel.pace",
        "5000",
        "channel.limit",
        "5000",
        "drain.grace",
        "30000",
        "admission",
        "share",
        "fall.multiple",
        "3"
    };

    final TreeMap<Integer, TreeMap<Long, Double>> tables = new TreeMap<>();
    final Map<Integer, Double> levels = new HashMap<>();
    final List<String> said = new ArrayList<>();
    final List<String> logged = new ArrayList<>();
    final TreeSet<Long> forgotten = new TreeSet<>();
    final TreeSet<Integer> bound = new TreeSet<>();
    private final Map<Integer, Integer> binds = new HashMap<>();

    /**
     * The channel by a count of its own: lines that wait, the most that ever did, who got a message
     * this turn.
     */
    double channel;

    double longest;
    private final TreeSet<Integer> reached = new TreeSet<>();
    private final double head;
    private final double pace;

    /** By proxy, the classes that each of its tables is for. */
    final Map<Integer, Set<ClassSet>> boundFor = new HashMap<>();

    /** Messages that each turn of a proxy comes to. */
    int messages = 1;

    private int marked;
    boolean answering = true;
    final TreeSet<Integer> silent = new TreeSet<>();
    final Planner logic;
    long now = 100 * SECOND;

    /** Two halls and one class unless told otherwise; names and values come in pairs. */
    FakeHost(String... terms) {
        this(7, terms);
    }

    /** The same with a seed of its own. */
    FakeHost(long seed, String... terms) {
        Map<String, String> all = new TreeMap<>();
        for (String[] pairs : new String[][] {USUAL, terms}) {
            for (int i = 0; i < pairs.length; i += 2) {
                all.put(pairs[i], pairs[i + 1]);
            }
        }
        PlannerSettings settings = settings(all);
        head = settings.messageOverheadEntries();
        pace = settings.channelEntriesPerSecond();
        logic = new Planner(now, seed, settings);
    }

    private static PlannerSettings settings(Map<String, String> all) {
        PlannerSettings.Builder settings = PlannerSettings.newBuilder();
        List<ClassSettings> classes = new ArrayList<>();
        for (int k = 0; k < Integer.parseInt(all.get("classes")); k++) {
            String prefix = "class." + k + ".";
            ClassSettings.Builder ofClass =
                    ClassSettings.named(all.getOrDefault(prefix + "name", "class-" + k));
            ofClass.staysInZone(Boolean.parseBoolean(all.remove(prefix + "own.zone")));
            set(all, prefix + "benefit", ofClass::priorityWeight);
            set(all, prefix + "promised.time", ofClass::latencyObjectiveTicks);
            classes.add(ofClass.build());
            all.remove(prefix + "name");
        }
        settings.zones(List.of(all.remove("zones").split(","))).classes(classes);
        settings.admissionMode(
                switch (all.remove("admission")) {
                    case "share" -> AdmissionMode.FRACTION;
                    case "rate" -> AdmissionMode.RATE_PER_SECOND;
                    default -> AdmissionMode.NONE;
                });
        set(all, "cold.share", settings::initialSlowStartFraction);
        set(all, "warm.after", settings::slowStartTicks);
        set(all, "message.head", settings::messageOverheadEntries);
        set(all, "channel.pace", settings::channelEntriesPerSecond);
        set(all, "channel.limit", settings::channelQueueLimitEntries);
        set(all, "drain.grace", settings::drainGraceTicks);
        set(all, "fall.multiple", settings::coldOverloadMultiple);
        set(all, "report.period", value -> settings.reportPeriodTicks((long) value));
        set(all, "governors", value -> settings.controllerCount((int) value));
        set(all, "proxies", value -> settings.expectedProxies((int) value));
        set(all, "idle.close", settings::idleCloseTicks);
        set(all, "messages.limit", settings::messageQuota);
        set(all, "messages.span", settings::messageQuotaWindowTicks);
        set(all, "again.unset", value -> settings.defaultRetryMode((int) value));
        set(all, "price.orders", settings::commandPrice);
        set(all, "price.crossing", settings::zoneCrossingPrice);
        set(all, "goal.worst.class", settings::worstClassWeight);
        all.remove("classes");
        assertThat(all).as("settings of this fixture").isEmpty();
        return settings.build();
    }

    private static void set(Map<String, String> all, String name, DoubleConsumer setter) {
        String value = all.remove(name);
        if (value != null) {
            setter.accept(Double.parseDouble(value));
        }
    }

    static Endpoint ready(long replica, String zone, long started) {
        return new Endpoint(replica, zone, "plain", Endpoint.Health.READY, started);
    }

    /** Warm replicas 1 to count, odd ones in the east, and a proxy in each hall. */
    FakeHost fleet(int count) {
        return crowd(count, 2, 10);
    }

    /** The same fleet with so many proxies, by turns in the east and the west. */
    FakeHost crowd(int count, int joined, double usualRate) {
        List<Endpoint> all = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            all.add(ready(i, i % 2 == 1 ? "east" : "west", 0));
        }
        logic.updateEndpoints(now, all, false);
        for (int i = 0; i < joined; i++) {
            logic.proxyJoined(now, i, i % 2 == 0 ? "east" : "west", usualRate);
        }
        return turn();
    }

    /** A proxy on a new stream. */
    void join(int proxy, String zone, double usualRate) {
        binds.remove(proxy);
        bound.remove(proxy);
        logic.proxyJoined(now, proxy, zone, usualRate);
    }

    /** The table that a proxy was put on. */
    int tableOf(int proxy) {
        return binds.get(proxy);
    }

    FakeHost turn() {
        said.clear();
        reached.clear();
        while (logic.decideNext(this)) {
            continue;
        }
        return this;
    }

    FakeHost pass(double seconds) {
        for (long end = now + (long) (seconds * SECOND); now < end; ) {
            now += SECOND / 10;
            channel = Math.max(0, channel - pace / 10);
            if (answering) {
                bound.stream()
                        .filter(proxy -> !silent.contains(proxy))
                        .forEach(proxy -> logic.proxyAcknowledged(now, proxy, marked));
            }
            logic.timerFired(now);
            turn();
        }
        return this;
    }

    /** Reports of one second, then the second itself; what the proxies used goes by the tries. */
    FakeHost second(Report... reports) {
        int tries = 0;
        for (Report report : reports) {
            String zone = report.replica % 2 == 1 ? "east" : "west";
            logic.recordLoadReport(
                    now,
                    zone,
                    report.replica,
                    report.tries,
                    report.failed,
                    report.took,
                    SECOND,
                    report.busy);
            tries += report.tries;
        }
        logic.recordUsage(now, 0, "cut", tries / 2, SECOND);
        logic.recordUsage(now, 1, "cut", tries / 2, SECOND);
        return pass(1);
    }

    record Report(long replica, int tries, int failed, Double busy, long took) {
        Report(long replica, int tries, int failed, Double busy) {
            this(replica, tries, failed, busy, 2_000);
        }
    }

    double share(int table, long replica) {
        return tables.get(table).getOrDefault(replica, 0.0)
                / tables.get(table).values().stream().mapToDouble(weight -> weight).sum();
    }

    /** Counts lines on their way to a proxy: its first of a turn bring the head and the mark. */
    private void write(int proxy, int lines) {
        channel += lines + (reached.add(proxy) ? head + 1 : 0);
        longest = Math.max(longest, channel);
    }

    private void writeToHolders(int table) {
        binds.forEach(
                (proxy, bound) -> {
                    if (bound == table) {
                        write(proxy, 1);
                    }
                });
    }

    @Override
    public int setTableEntry(int table, long replica, double weight) {
        said.add("line " + table + " " + replica);
        TreeMap<Long, Double> lines = tables.computeIfAbsent(table, number -> new TreeMap<>());
        if (weight == 0) {
            lines.remove(replica);
        } else {
            lines.put(replica, weight);
        }
        writeToHolders(table);
        return 1;
    }

    @Override
    public int bindProxy(int table, int proxy, ClassSet classes) {
        said.add("bind " + table + " " + proxy + " " + classes);
        bound.add(proxy);
        binds.put(proxy, table);
        Set<ClassSet> meant = boundFor.computeIfAbsent(proxy, first -> new HashSet<>());
        if (classes.isAll() || meant.contains(ClassSet.all())) {
            meant.clear();
        }
        meant.add(classes);
        write(proxy, tables.get(table).size() + 2);
        return 0;
    }

    @Override
    public void setAdmissionLevel(int table, ClassSet classes, double level, int again) {
        said.add("admit " + table + " " + level + " " + again);
        levels.put(table, level);
        writeToHolders(table);
    }

    @Override
    public int notifyDraining(long replica, boolean out, int proxy) {
        said.add("withdraw " + replica + " " + out + " " + proxy);
        write(proxy, 1);
        return 1;
    }

    @Override
    public int messageCount(int proxy) {
        return messages;
    }

    @Override
    public void requestAcknowledgement(int serial) {
        said.add("mark " + serial);
        marked = serial;
    }

    @Override
    public void wakeAfter(long delay) {
        said.add("wake " + delay);
    }

    @Override
    public void forgetReplica(long replica) {
        forgotten.add(replica);
        tables.values()
                .forEach(
                        lines -> {
                            assertThat(lines).doesNotContainKey(replica);
                        });
    }

    @Override
    public void log(String line) {
        logged.add(line);
    }
}
