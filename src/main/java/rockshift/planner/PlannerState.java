package rockshift.planner;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;
import rockshift.model.ControlScope;
import rockshift.model.Endpoint;
import rockshift.settings.ClassNames;
import rockshift.settings.ClassSettings;
import rockshift.settings.PlannerSettings;
import rockshift.settings.SettingOverrides;

/**
 * What one governor knows: inputs write down what they tell, and {@link Planner} decides what
 * follows.
 */
abstract class PlannerState {
    /** The settings of the deployment; and with what controllers agreed to override since. */
    private final PlannerSettings configured;

    PlannerSettings settings;

    /** By replica, who is to be kept out if it started no later. */
    final TreeMap<Long, Long> asked = new TreeMap<>();

    long agreedVersion;
    ControlScope setControlScope = ControlScope.FULL;
    final List<String> zones;
    final int classes;
    private final ClassNames classNames;
    final TreeMap<Long, Replica> replicas = new TreeMap<>();
    final TreeMap<Integer, Proxy> proxies = new TreeMap<>();

    /** Proxies that still hold what they came with, in the order of joining. */
    final LinkedHashMap<Integer, Proxy> waiting = new LinkedHashMap<>();

    final ArrayDeque<String> notes = new ArrayDeque<>();
    long now;
    boolean timerSet;

    /** A replica in a table changed; proxies joined. */
    boolean urgent = true;

    boolean unsettled;

    /** When a replica last left, as the list or staff have it. */
    long lostAt = Long.MIN_VALUE / 2;

    /** By class, what came; the tries seen; and the time that both and answers cover. */
    final double[] came;

    double tried;

    /**
     * Answers, the tenths of a ms that they took together, and the shortest mean of that so far.
     */
    double answers;

    double answerTime;
    private double leastTime = Double.MAX_VALUE;
    double flowTime;
    double heardTime;

    /** The same, begun with the first report's span instead of the time until it was taken in. */
    double flowSpan;

    double heardSpan;
    long fadedAt;

    /**
     * Transactions a second of a class that the hottest proxy brought of late: any may be the next.
     */
    double hottest;

    /** The shortest promised time: answers that take longer are late. */
    final double promised;

    PlannerState(long now, PlannerSettings configured) {
        this.now = now;
        this.configured = configured;
        settings = configured;
        fadedAt = now;
        zones = configured.zones();
        // Deployments with shards hand out tables of their own: none is published there.
        classes = configured.sharded() ? 0 : configured.classes().size();
        classNames = configured.classNames();
        came = new double[classes];
        promised =
                IntStream.range(0, classes)
                        .mapToDouble(k -> configured.classes().get(k).latencyObjectiveTicks())
                        .min()
                        .orElse(0);
    }

    /** Settings by their former names, until each policy is handed what it reads. */
    final double number(String name, double otherwise) {
        if (name.startsWith("class.")) {
            return numberOfClass(name.split("\\."), otherwise);
        }
        return switch (name) {
            case "message.head" -> settings.messageOverheadEntries();
            case "channel.limit" -> settings.channelQueueLimitEntries();
            case "channel.pace" -> settings.channelEntriesPerSecond();
            case "messages.limit" -> settings.messageQuota();
            case "messages.span" -> settings.messageQuotaWindowTicks();
            case "drain.grace" -> settings.drainGraceTicks();
            case "cold.share" -> settings.initialSlowStartFraction();
            case "warm.after" -> settings.slowStartTicks();
            case "again.unset" -> settings.defaultRetryMode();
            case "transit" -> settings.transitTicks();
            case "transit.longest" -> settings.longestTransitTicks();
            case "idle.close" -> settings.idleCloseTicks();
            default -> numberOfDeployment(name, otherwise);
        };
    }

    private double numberOfDeployment(String name, double otherwise) {
        return switch (name) {
            case "proxies" -> settings.expectedProxies();
            case "governors" -> settings.controllerCount();
            case "report.period" -> settings.reportPeriodTicks();
            case "fall.multiple" -> settings.coldOverloadMultiple();
            case "goal.worst.class" -> settings.worstClassWeight();
            case "price.crossing" -> settings.zoneCrossingPrice();
            case "price.orders" -> settings.commandPrice();
            default -> otherwise;
        };
    }

    private double numberOfClass(String[] steps, double otherwise) {
        ClassSettings ofClass = settings.classes().get(Integer.parseInt(steps[1]));
        return switch (steps[2]) {
            case "benefit" -> ofClass.priorityWeight();
            case "time" -> ofClass.timeoutTicks();
            default -> otherwise;
        };
    }

    /**
     * Turns in which a proxy may be sent something, by the limit of its messages: one turn may take
     * several.
     */
    final double turns(double messages) {
        int further = Math.max(0, classes - 1) / ProxyCommands.MAX_PARTS_PER_MESSAGE;
        return messages > 0 ? Math.max(1, messages - further) : 0;
    }

    /** What came and was met counts less as time passes. */
    final void fadeFlow(double kept) {
        tried *= kept;
        answers *= kept;
        answerTime *= kept;
        for (int k = 0; k < classes; k++) {
            came[k] *= kept;
        }
    }

    /**
     * The part of their time that answers lately waited: what they take beyond the shortest mean so
     * far.
     */
    final double waited() {
        double took = answers > 0 ? answerTime / answers : Double.MAX_VALUE;
        leastTime = Math.min(leastTime, took);
        return took > 0 ? 1 - leastTime / took : 0;
    }

    /** The list: changes only, or the whole of it. */
    public void updateEndpoints(long now, List<Endpoint> entries, boolean changes) {
        this.now = now;
        TreeSet<Long> missing = new TreeSet<>(changes ? List.of() : replicas.keySet());
        for (Endpoint entry : entries) {
            missing.remove(entry.replicaId());
            Replica replica = replicas.computeIfAbsent(entry.replicaId(), Replica::new);
            boolean restarted = entry.startedAtTicks() > replica.started;
            if (restarted) {
                replica.started = entry.startedAtTicks();
                replica.forget();
            }
            replica.zone = entry.zone();
            replica.kind = entry.machineType();
            change(replica, entry.health(), restarted ? " started" : "");
        }
        missing.forEach(id -> change(replicas.get(id), Endpoint.Health.GONE, ""));
    }

    private void change(Replica replica, Endpoint.Health health, String also) {
        if (health != replica.health || !also.isEmpty()) {
            urgent |= replica.inTables();
            replica.changed = now;
            lostAt = health == Endpoint.Health.READY ? lostAt : now;
            replica.health = health;
            notes.add("replica " + replica.id + " " + health + also);
        }
    }

    /**
     * What staff agreed, as it stands since a version: replicas to keep out, each up to a last
     * start, and settings that replace the configured ones. One that is older than what is known
     * means nothing.
     */
    public void applyAgreedChanges(
            long now, long version, Map<Long, Long> out, SettingOverrides overrides) {
        this.now = now;
        if (version > agreedVersion) {
            agreedVersion = version;
            asked.clear();
            asked.putAll(out);
            settings = configured.withOverrides(overrides);
            urgent = true;
        }
    }

    /**
     * Whether this governor may order all, or being cut off from the others only what rules owe, or
     * nothing.
     */
    public void setControlScope(long now, ControlScope to) {
        this.now = now;
        urgent |= to != setControlScope;
        setControlScope = to;
        notes.add("controlScope scope=" + to);
    }

    /** A proxy's stream is up; the proxy holds what it held. */
    public void proxyJoined(long now, int number, String zone, double usualRate) {
        proxyLeft(now, number);
        double[] rate = new double[classes];
        Arrays.fill(rate, usualRate / Math.max(1, classes));
        Proxy proxy = new Proxy(number, Math.max(0, zones.indexOf(zone)), rate);
        proxies.put(number, proxy);
        waiting.put(number, proxy);
        proxy.joinedAt = now;
        Arrays.fill(proxy.toldAt, now + (long) number("report.period", 0));
        unsettled = true;
    }

    public void proxyLeft(long now, int number) {
        this.now = now;
        Proxy proxy = proxies.remove(number);
        waiting.remove(number);
        if (proxy != null && proxy.place != null) {
            proxy.place.joined--;
            proxy.place.bound -= proxy.bound ? 1 : 0;
            proxy.place.laid &= proxy.place.joined > 0;
        }
    }

    /**
     * What proxies of a zone met at a replica over a span, the mean time of answers, its load if
     * told.
     */
    public void recordLoadReport(
            long now,
            String zone,
            long id,
            int count,
            int failed,
            long took,
            long span,
            Double busy) {
        this.now = now;
        Replica replica = replicas.get(id);
        if (replica != null) {
            tried += count;
            answers += Math.max(0, count - failed);
            answerTime += Math.max(0, count - failed) * (double) took;
            heardTime = heardTime == 0 ? span : heardTime;
            replica.heard(zone, count, failed, took > promised ? count - failed : 0, busy);
        }
    }

    /** Transactions of a class that came to a proxy over a span. */
    public void recordUsage(long now, int number, String type, int count, long span) {
        this.now = now;
        Proxy proxy = proxies.get(number);
        int k = classNames.number(type);
        if (proxy != null && span > 0 && k >= 0 && k < classes) {
            came[k] += count;
            // There is no report of a span in which nothing came: the next one covers those before
            // it.
            long covered = span * Math.max(1, Math.round((now - proxy.toldAt[k]) / (double) span));
            proxy.came[k] += count;
            proxy.span[k] += covered;
            proxy.toldAt[k] += covered;
        }
    }

    /** A proxy has applied the messages up to a mark. */
    public void proxyAcknowledged(long now, int number, int serial) {
        this.now = now;
        if (proxies.containsKey(number)) {
            ChannelPacer.answered(proxies.get(number), serial);
        }
    }

    /**
     * Time has passed; who told of nothing for two report periods, brought nothing in the first of
     * them.
     */
    public void timerFired(long now) {
        this.now = now;
        timerSet = false;
        long period = (long) number("report.period", 0);
        for (Proxy proxy : period > 0 ? proxies.values() : List.<Proxy>of()) {
            for (int k = 0; k < classes; k++) {
                if (now - proxy.toldAt[k] > 2 * period) {
                    proxy.span[k] += period;
                    proxy.toldAt[k] += period;
                }
            }
        }
    }
}
