package rockshift;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * All decisions of one governor. The host calls an input method for each thing it learns, then
 * {@link #decide} until that answers false; what is decided comes out through {@link Orders}.
 * Inputs only update what is known. Times are tenths of a millisecond on the host's clock.
 * The mechanism and every exception to it are explained in docs/design.md.
 */
public final class Logic {
    // ---- constants: unit, and the reason for the size -------------------------------------------
    /** Tenths of a ms: the timer. A tenth of the gathering time, so that nothing due waits long. */
    private static final long TURN = 1_000;
    /** Tenths of a ms: the design's gathering time between two batches of differences. */
    private static final long GATHER = 10_000;
    /** Share of a line's weight: smaller changes are not sent (the design's tenth). */
    private static final double SKIP = 0.1;
    /** Share of the channel's limit that ordinary batches may fill (the design's half). */
    private static final double CHANNEL_PART = 0.5;
    /** Share of the message limit left to ordinary batches; drains and joins need the rest. */
    private static final double MESSAGE_PART = 0.6;
    /** Tenths of a ms: memory of the capacity estimates (the design starts at 10 s). */
    private static final double CAPACITY_MEMORY = 80_000;
    /** Answers: a replica heard of less leans on the mean of its kind. */
    private static final double PRIOR = 15;
    /** Share: a load report below it is mostly noise, and a rate over it would be as well. */
    private static final double LEAST_LOAD = 0.05;
    /** Tenths of a ms: memory of failures; short, as a failing replica does harm at once. */
    private static final double HEALTH_MEMORY = 50_000;
    /** Part: how far one usage report moves a proxy's rate; two reports make most of a change. */
    private static final double DEMAND_STEP = 0.5;
    /** Exponent of the fairness; 1 is the design's start. */
    private static final double ALPHA = 1;
    /** Price of moving the whole traffic once, as a share of its benefit: the switching cost. */
    private static final double THETA = 0.0005;
    /** Part of the price of crossing zones that a path bears in the solve: a fifth of a line a round. */
    private static final double NEAR = 0.03;
    /** Iterations a report round (the design's 5). */
    private static final int ITERATIONS = 5;
    /** Bisection steps: enough for 12 digits. */
    private static final int BISECTIONS = 40;
    /** Share of an even line that every line keeps: enough to go on hearing of the replica. */
    private static final double FLOOR = 0.02;
    /** Demand share below which a request still gets a table, for proxies that may join it. */
    private static final double LEAST_DEMAND = 0.002;
    /** Tries: fewer say nothing about a replica. */
    private static final double FEW_TRIES = 3;
    /** Share of failures beside twice the median that shuns a replica: what all suffer shuns nobody. */
    private static final double EXCESS_FAILURES = 0.2;
    /** Load above which failures are put down to too much work. */
    private static final double OVERWORKED = 0.8;
    /** Tenths of a ms: memory of what came and was tried; two to four report periods. */
    private static final double FLOW_MEMORY = 40_000;
    /** Share of the fleet's capacity that may be let in: above it queues outgrow the promised time. */
    private static final double FULL = 0.8;
    /** Mean load of the fleet below which nothing is refused: a low estimate alone is no evidence. */
    private static final double BUSY = 0.6;
    /** Median share of failures up to which the fleet counts as calm, and its capacity as known. */
    private static final double CALM = 0.05;
    /** Part of the way that the calm rate moves a batch, and the part of it that a jam leaves. */
    private static final double STEADY_STEP = 0.3;
    private static final double JAM_PART = 0.75;
    /** Median share of failures that means a jam; and tenths of a ms until reports tell how a pause ended. */
    private static final double JAMMED = 0.6;
    private static final long AFTER_PAUSE = 50_000;
    /** Level gained a batch at most: let in all at once, those who waited would jam the fleet again. */
    private static final double RISE = 0.2;
    /** Level: changes below it are not sent; and the least level of any class. */
    private static final double LEVEL_STEP = 0.02;
    private static final double LEAST_LEVEL = 0.05;
    /** Times a refused client comes again, at most; the refused share that tells; the step of learning. */
    private static final double MOST_REPEATS = 3;
    private static final double TRUSTED = 0.15;
    private static final double REPEATS_STEP = 0.2;
    /** Share of what pushes a cold replica over that it may be sent, by the tries now made. */
    private static final double COLD_PART = 0.3;
    /** Times its part of the fleet's capacity that a cold replica may be of any one table. */
    private static final double COLD_SPREAD = 1.5;
    /** Tenths of a ms: a shunned replica's first rest; it doubles up to the longest. */
    private static final long REST = 60_000;
    private static final long LONGEST_REST = 150_000;
    /** Tenths of a ms: the return after a rest, over which the weight grows from TRIAL to full. */
    private static final long RETURN = 50_000;
    private static final double TRIAL = 0.15;
    /** Tenths of a ms beyond the longest transit after which an unanswered mark means a queue. */
    private static final long MARK_SLACK = 5_000;
    /** Share of the channel's limit that a batch with drains may fill; the rest is for those who join. */
    private static final double PRESSING_PART = 0.9;
    /** Trying again only after proof that the first try never ran: safe for every class. */
    private static final int AGAIN = 1;
    /** Marks are numbered up to here, then from 1 again. */
    private static final int LAST_SERIAL = 65_535;

    // ---- what is known --------------------------------------------------------------------------
    private final Map<String, String> terms;
    private final RandomGenerator chance;
    private final List<String> zones;
    private final int classes;
    private final boolean[] homebound;
    /** A request is a class of a zone: zone number times classes, plus class; its table has that number. */
    private final int requests;
    private final double crossing;
    private final double coldShare;
    private final double warmAfter;
    private final TreeMap<Long, Replica> replicas = new TreeMap<>();
    private final TreeMap<Integer, Proxy> proxies = new TreeMap<>();
    private final TreeSet<Due> dues = new TreeSet<>(
            Comparator.comparingLong(Due::at).thenComparing(Due::batch).thenComparing(Due::replica)
                    .thenComparing(Due::far));
    private final ArrayDeque<String> notes = new ArrayDeque<>();
    private long now;
    private boolean timerSet;
    private boolean urgent = true;
    private boolean held;
    private double queued;
    private long queuedAt;
    private int serial;
    // By request: demand shares, class totals, levels as sent.
    private final double[] weight;
    private final double[] oldWeight;
    private final double[] total;
    private final double[] sentLevel;
    // By class, faded: what came, and the level over time; then the tries, and the time that all this covers.
    private final double[] came;
    private final double[] level;
    private final double[] letIn;
    private double repeats;
    private double tried;
    private double expected;
    private double flowTime;
    private double heardTime;
    private long fadedAt;
    private double fleetRate;
    private double steadyRate;
    private double fleetLoad;
    private double medianFailures;
    private long pausedUntil;

    /** Work that falls due: the next batch, or the end of a shunned replica's rest in one view. */
    private record Due(long at, boolean batch, long replica, boolean far) { }

    /** What proxies of its own zone, or those of others, lately saw of a replica. */
    private static final class View {
        double tries;
        double lost;
        double busy;
        boolean shunned;
        long rest = REST;
        long returned = Long.MIN_VALUE / 2;

        double failureShare() {
            return lost / tries;
        }

        void forget() {
            tries = lost = busy = 0;
            shunned = false;
        }

        void fade(double kept) {
            tries *= kept;
            lost *= kept;
            busy *= kept;
        }
    }

    /** A path of every request, and the one link that they share there. */
    private final class Replica {
        final long id;
        String zone;
        String kind;
        Listed.Health health = Listed.Health.READY;
        long started;
        // Evidence, faded: for the capacity, then for the health.
        double answered;
        double busySum;
        double busyTries;
        final View near = new View();
        final View far = new View();
        // The solve: the link's capacity; the request's copy, the link's copy and their mean; the dual.
        double capacity;
        final double[] x = new double[requests];
        final double[] z = new double[requests];
        final double[] mean = new double[requests];
        final double[] dual = new double[requests];
        final double[] published = new double[requests];
        final boolean[] placed = new boolean[requests];

        Replica(long id) {
            this.id = id;
        }

        boolean usable() {
            return health == Listed.Health.READY;
        }

        /** Whether a request may use this path at all; some classes must stay in their zone. */
        boolean allowed(int r) {
            return usable() && (!homebound[r % classes] || zone.equals(zones.get(r / classes)));
        }

        View view(String from) {
            return from.equals(zone) ? near : far;
        }

        View seen() {
            View all = new View();
            all.tries = near.tries + far.tries;
            all.lost = near.lost + far.lost;
            all.busy = near.busy + far.busy;
            return all;
        }

        /** Whether a request may use this path: shunned near means for all, shunned far for the others. */
        boolean open(int r) {
            return allowed(r) && !near.shunned && !view(zones.get(r / classes)).shunned;
        }

        boolean inTables() {
            return Arrays.stream(published).anyMatch(line -> line > 0);
        }

        /** Part of its full capacity that it has at least: a new one starts cold and warms evenly. */
        double warmth() {
            double age = Math.max(0, now - started);
            return started == 0 || age >= warmAfter ? 1 : coldShare + (1 - coldShare) * age / warmAfter;
        }

        /** Share of its time that it was busy, for all who send to it. */
        double busy() {
            return busyTries > 0 ? Math.max(LEAST_LOAD, busySum / busyTries) : 1;
        }

        void fade(double capacityKept, double healthKept) {
            answered *= capacityKept;
            busySum *= capacityKept;
            busyTries *= capacityKept;
            near.fade(healthKept);
            far.fade(healthKept);
        }

        /**
         * Carries the copies over to a changed capacity and demand in proportion: they stay feasible when
         * a capacity falls, and small requests are not bent by what large ones gain. A new path starts at
         * the optimum of the undisturbed problem, so that it need not be sought.
         */
        void carry(double oldCapacity) {
            for (int r = 0; r < requests; r++) {
                boolean known = placed[r] && oldCapacity > 0 && capacity > 0;
                placed[r] = open(r);
                double scale = known ? capacity / oldCapacity * weight[r] / oldWeight[r] : 0;
                x[r] = !placed[r] ? 0 : known ? x[r] * scale : weight[r] * capacity;
                z[r] = !placed[r] ? 0 : known ? z[r] * scale : weight[r] * capacity;
                dual[r] = known ? dual[r] : Math.pow(weight[r], 1 - ALPHA);
            }
        }
    }

    private static final class Proxy {
        final int zone;
        final double[] rate;
        final ArrayDeque<Long> messages = new ArrayDeque<>();
        /** Marks without an answer: serial, time, lines. */
        final ArrayDeque<long[]> marks = new ArrayDeque<>();
        boolean bound;

        Proxy(int zone, double[] rate) {
            this.zone = zone;
            this.rate = rate;
        }
    }

    public Logic(long now, long seed, Map<String, String> terms) {
        this.now = now;
        this.terms = terms;
        chance = new SplittableRandom(seed);
        zones = Arrays.asList(terms.getOrDefault("zones", "").split(","));
        // Sites with slices hand out tables of their own: none is laid there.
        classes = number("slices", 0) > 0 ? 0 : (int) number("classes", 0);
        homebound = new boolean[classes];
        for (int k = 0; k < classes; k++) {
            homebound[k] = Boolean.parseBoolean(terms.get("class." + k + ".own.zone"));
        }
        crossing = NEAR * number("price.crossing", 0);
        coldShare = number("cold.share", 0.1);
        warmAfter = number("warm.after", 300_000);
        requests = zones.size() * classes;
        weight = new double[requests];
        oldWeight = new double[requests];
        total = new double[requests];
        sentLevel = new double[requests];
        came = new double[classes];
        level = new double[classes];
        letIn = new double[classes];
        Arrays.fill(level, 1);
        Arrays.fill(letIn, 1);
        fadedAt = now;
        queuedAt = now;
        dues.add(new Due(now, true, 0, false));
    }

    private double number(String name, double otherwise) {
        String value = terms.get(name);
        return value == null || value.isEmpty() ? otherwise : Double.parseDouble(value);
    }

    private double benefit(int k) {
        return number("class." + k + ".benefit", 1);
    }

    // ---- inputs ---------------------------------------------------------------------------------

    /** The list: changes only, or the whole of it. */
    public void listed(long now, List<Listed> entries, boolean changes) {
        this.now = now;
        TreeSet<Long> missing = new TreeSet<>(changes ? List.of() : replicas.keySet());
        for (Listed entry : entries) {
            missing.remove(entry.replica());
            Replica replica = replicas.computeIfAbsent(entry.replica(), Replica::new);
            boolean restarted = entry.started() > replica.started;
            if (restarted || entry.health() != replica.health) {
                urgent |= replica.inTables();
                notes.add("replica " + replica.id + " " + entry.health() + (restarted ? " started" : ""));
            }
            if (restarted) {
                replica.started = entry.started();
                replica.answered = replica.busySum = replica.busyTries = 0;
                replica.near.forget();
                replica.far.forget();
            }
            replica.zone = entry.zone();
            replica.kind = entry.kind();
            replica.health = entry.health();
        }
        for (Long id : missing) {
            replicas.get(id).health = Listed.Health.GONE;
            urgent |= replicas.get(id).inTables();
        }
    }

    /** A proxy's stream is up; the proxy holds what it held. */
    public void joined(long now, int number, String zone, double usualRate) {
        this.now = now;
        double[] rate = new double[classes];
        Arrays.fill(rate, usualRate / Math.max(1, classes));
        proxies.put(number, new Proxy(Math.max(0, zones.indexOf(zone)), rate));
    }

    public void left(long now, int number) {
        this.now = now;
        proxies.remove(number);
    }

    /** What the proxies of a zone met at a replica over a span, and its load if an answer told it. */
    public void heard(long now, String zone, long id, int count, int failed, long span, Double busy) {
        this.now = now;
        Replica replica = replicas.get(id);
        if (replica == null) {
            return;
        }
        tried += count;
        heardTime = heardTime == 0 ? span : heardTime;
        double load = busy == null ? 0 : count * busy;
        View view = replica.view(zone);
        view.tries += count;
        view.lost += failed;
        view.busy += load;
        if (replica.warmth() >= 1) {
            replica.answered += Math.max(0, count - failed);
            replica.busySum += load;
            replica.busyTries += busy == null ? 0 : count;
        }
    }

    /** Transactions of a class that came to a proxy over a span. */
    public void usage(long now, int number, String type, int count, long span) {
        this.now = now;
        Proxy proxy = proxies.get(number);
        for (int k = 0; proxy != null && span > 0 && k < classes; k++) {
            if (type.equals(terms.get("class." + k + ".name"))) {
                came[k] += count;
                proxy.rate[k] += DEMAND_STEP * (count * 10_000.0 / span - proxy.rate[k]);
            }
        }
    }

    public void caughtUp(long now, int number, int serial) {
        this.now = now;
        Proxy proxy = proxies.get(number);
        if (proxy != null && proxy.marks.stream().anyMatch(mark -> mark[0] == serial)) {
            while (proxy.marks.removeFirst()[0] != serial) {
                continue;
            }
        }
    }

    public void woken(long now) {
        this.now = now;
        timerSet = false;
    }

    // ---- decisions ------------------------------------------------------------------------------

    /** Takes one decision, if there is one to take now. */
    public boolean decide(Orders orders) {
        Due due = dues.first();
        if (!timerSet) {
            timerSet = true;
            orders.wake(TURN);
        } else if (!notes.isEmpty()) {
            orders.log(notes.remove());
        } else if (urgent || due.at <= now && due.batch) {
            batch(orders);
        } else if (due.at <= now) {
            dues.pollFirst();
            giveBack(replicas.get(due.replica), due.far);
        } else {
            return proxies.entrySet().stream().anyMatch(e -> join(orders, e.getKey(), e.getValue()));
        }
        return true;
    }

    private void giveBack(Replica replica, boolean far) {
        View view = replica == null ? null : far ? replica.far : replica.near;
        if (view != null && view.shunned) {
            view.returned = now;
            replica.near.forget();
            replica.far.forget();
            notes.add("replica " + replica.id + " tried again");
        }
    }

    /** Lays the tables of its zone under a proxy; never one without a line. */
    private boolean join(Orders orders, int number, Proxy proxy) {
        double lines = number("message.head", 0);
        int first = proxy.zone * classes;
        for (int r = first; r < first + classes && !proxy.bound; r++) {
            int request = r;
            long filled = replicas.values().stream().filter(path -> path.published[request] > 0).count();
            if (filled == 0) {
                return false;
            }
            lines += filled + 2;
        }
        if (proxy.bound || queue() + lines > number("channel.limit", Double.MAX_VALUE)) {
            return false;
        }
        for (int k = 0; k < classes; k++) {
            orders.bind(first + k, number, 1 << k);
        }
        proxy.bound = true;
        proxy.messages.add(now);
        queued += lines;
        return true;
    }

    /** Judges, solves and sends the differences, those of drains first. */
    private void batch(Orders orders) {
        boolean pressing = urgent || held;
        urgent = false;
        held = false;
        fade();
        judge();
        weighDemand();
        estimate();
        setLevels();
        double penalty = penalty();
        for (int i = 0; i < ITERATIONS; i++) {
            iterate(penalty);
        }
        publish(orders, pressing);
        dues.removeIf(Due::batch);
        dues.add(new Due(now + (held ? TURN : GATHER), true, 0, false));
    }

    /** Old evidence fades, by the time passed and not by the number of reports. */
    private void fade() {
        double capacityKept = Math.exp((fadedAt - now) / CAPACITY_MEMORY);
        double healthKept = Math.exp((fadedAt - now) / HEALTH_MEMORY);
        double flowKept = Math.exp((fadedAt - now) / FLOW_MEMORY);
        fadedAt = now;
        replicas.values().forEach(replica -> replica.fade(capacityKept, healthKept));
        if (heardTime > 0) {
            heardTime = heardTime * capacityKept + CAPACITY_MEMORY * (1 - capacityKept);
            flowTime = flowTime * flowKept + FLOW_MEMORY * (1 - flowKept);
            tried *= flowKept;
            for (int k = 0; k < classes; k++) {
                came[k] *= flowKept;
                letIn[k] = letIn[k] * flowKept + level[k] * (1 - flowKept);
            }
        }
    }

    /** A replica is judged by its share of failures against the fleet's median. */
    private void judge() {
        double[] shares = replicas.values().stream().filter(Replica::usable).map(Replica::seen)
                .filter(view -> view.tries >= FEW_TRIES).mapToDouble(View::failureShare).sorted().toArray();
        medianFailures = shares.length == 0 ? 0 : shares[(shares.length - 1) / 2];
        for (Replica replica : replicas.values()) {
            // A cut between zones looks like death from one side only: while its own zone does well with a
            // replica, the others alone shun it. Could keep a dying one for those near it a little longer.
            boolean wellNear = replica.near.tries >= FEW_TRIES && !failing(replica.near);
            if (replica.usable() && failing(wellNear ? replica.far : replica.seen())) {
                shun(replica, wellNear ? replica.far : replica.near);
            }
        }
    }

    /**
     * Too much work makes a replica fail as well, and shunning it would push the next one over: a busy one
     * is left to the capacity estimate. A hung one tells no load, and counts as idle.
     */
    private boolean failing(View view) {
        return view.tries >= FEW_TRIES && view.busy <= OVERWORKED * view.tries
                && view.failureShare() > 2 * medianFailures + EXCESS_FAILURES;
    }

    private void shun(Replica replica, View view) {
        if (!view.shunned) {
            boolean far = view == replica.far;
            view.shunned = true;
            view.rest = now - view.returned > RETURN + GATHER ? REST : Math.min(LONGEST_REST, 2 * view.rest);
            dues.add(new Due(now + view.rest + chance.nextLong(GATHER), false, replica.id, far));
            notes.add(String.format(Locale.ROOT, "replica %d shunned%s, failures %.2f, median %.2f",
                    replica.id, far ? " by far" : "", replica.seen().failureShare(), medianFailures));
        }
    }

    /** Request weights: shares of demand, by zone and class. */
    private void weighDemand() {
        System.arraycopy(weight, 0, oldWeight, 0, requests);
        Arrays.fill(weight, 0);
        for (Proxy proxy : proxies.values()) {
            for (int k = 0; k < classes; k++) {
                weight[proxy.zone * classes + k] += proxy.rate[k];
            }
        }
        double all = Arrays.stream(weight).sum();
        expected = all / 10_000;
        Arrays.setAll(weight, r -> Math.max(LEAST_DEMAND, all > 0 ? weight[r] / all : 0));
        double sum = Arrays.stream(weight).sum();
        Arrays.setAll(weight, r -> weight[r] / sum);
    }

    /**
     * Capacities as shares of their sum. A replica's is its answered rate over its load: what it would
     * answer if it were busy all the time, of which our own proxies' part is ours. The answered rate
     * alone follows the weight that it was given, and feeds on itself. Few answers lean on the kind's mean.
     */
    private void estimate() {
        TreeMap<String, DoubleSummaryStatistics> kinds = new TreeMap<>();
        DoubleSummaryStatistics fleet = new DoubleSummaryStatistics();
        for (Replica replica : replicas.values()) {
            if (replica.usable() && replica.answered >= 1) {
                double own = replica.answered / replica.busy();
                fleet.accept(own);
                kinds.computeIfAbsent(replica.kind, kind -> new DoubleSummaryStatistics()).accept(own);
            }
        }
        double[] old = replicas.values().stream().mapToDouble(replica -> replica.capacity).toArray();
        double sum = 0;
        double reach = 0;
        double busy = 0;
        for (Replica replica : replicas.values()) {
            double mean = fleet.getCount() > 0 ? kinds.getOrDefault(replica.kind, fleet).getAverage() : 1;
            double own = replica.answered / replica.busy();
            double back = Math.min(1, TRIAL + (1 - TRIAL) * (now - replica.near.returned) / RETURN);
            double part = replica.near.shunned || !replica.usable() ? 0 : back * replica.warmth();
            replica.capacity = part * (replica.answered * own + PRIOR * mean) / (replica.answered + PRIOR);
            sum += replica.capacity;
            // What none of our proxies can reach, as behind a cut, is no capacity to admit by.
            if (proxies.values().stream().anyMatch(proxy -> replica.open(proxy.zone * classes))) {
                reach += replica.capacity;
                busy += replica.capacity * replica.busy();
            }
        }
        fleetRate = heardTime > 0 ? reach / heardTime : 0;
        fleetLoad = reach > 0 ? busy / reach : 0;
        // Guards a cold replica when all try far more than the fleet can do, or much of it is cold; could
        // hold a new one back after a storm. Proxies just joined count by what they usually get.
        double asked = Math.max(expected, flowTime > 0 ? tried / flowTime : 0);
        double strain = fleetRate > 0 ? asked / fleetRate : 0;
        double bearable = COLD_PART * number("fall.multiple", 1);
        int i = 0;
        for (Replica replica : replicas.values()) {
            replica.capacity *= replica.warmth() < 1 && strain > bearable ? bearable / strain : 1;
            replica.capacity = sum > 0 ? replica.capacity / sum : 0;
            replica.carry(old[i++]);
        }
    }

    /**
     * Levels: no more is let in than the fleet can answer, the lesser benefit refused first where the goal
     * allows it. Guards against too much demand and lost capacity of any cause, where admission is a share.
     * Could refuse too much while capacity is underrated, so a fleet that is not busy refuses nothing.
     */
    private void setLevels() {
        if (!terms.getOrDefault("admission", "").equals("share") || flowTime == 0) {
            return;
        }
        // A refused client comes again; taken for new demand, it would have ever more refused. How often is
        // learned from what passed beyond the tries seen, slowly, as tries end late. Could let in too much.
        double passed = IntStream.range(0, classes).mapToDouble(k -> came[k] * letIn[k]).sum();
        double refused = 1 - passed / Arrays.stream(came).sum();
        double found = Math.max(0, Math.min(MOST_REPEATS, (passed / Math.max(1, tried) - 1) / refused));
        repeats += refused > TRUSTED ? REPEATS_STEP * (found - repeats) : 0;
        double[] each = new double[classes];
        double demand = 0;
        double benefits = 0;
        for (int k = 0; k < classes; k++) {
            each[k] = came[k] / flowTime / (1 + repeats * (1 - letIn[k]));
            demand += each[k];
            benefits += each[k] * benefit(k);
        }
        // In a jam answers fall though the capacity is there, and refusing by them would refuse nearly all:
        // the rate of calmer times holds the room up. Too high where much capacity is really lost.
        double step = steadyRate == 0 ? 1 : medianFailures < CALM ? STEADY_STEP : 0;
        steadyRate += step * (fleetRate - steadyRate);
        double room = FULL * Math.max(fleetRate, JAM_PART * steadyRate);
        // In a full jam servers work on what nobody waits for any more, whatever is still let in. Letting in
        // next to nothing until the oldest has timed out frees them at once; costs that time if it is wrong.
        if (medianFailures > JAMMED && fleetLoad > OVERWORKED && now > pausedUntil + AFTER_PAUSE) {
            for (int k = 0; k < classes; k++) {
                pausedUntil = Math.max(pausedUntil, now + (long) number("class." + k + ".time.limit", 0));
            }
            notes.add(String.format(Locale.ROOT, "jam, median of failures %.2f, pausing", medianFailures));
        }
        double ofWorst = number("goal.worst.class", 0);
        int lesser = -1;
        double least = 1 / demand;
        for (int k = 0; k < classes; k++) {
            double loss = (1 - ofWorst) * benefit(k) / benefits + ofWorst / each[k];
            lesser = loss < least ? k : lesser;
            least = loss < least ? loss : least;
        }
        double mine = lesser < 0 ? demand : each[lesser];
        double rest = demand - mine;
        double low = Math.max(LEAST_LEVEL, Math.min(1, (room - rest) / mine));
        double high = rest > 0 ? Math.max(LEAST_LEVEL, Math.min(1, (room - low * mine) / rest)) : 1;
        for (int k = 0; k < classes; k++) {
            double to = fleetLoad < BUSY ? 1 : lesser < 0 || k == lesser ? low : high;
            level[k] = now < pausedUntil ? LEAST_LEVEL : Math.min(to, level[k] + RISE);
        }
    }

    /** One iteration of FD-ADMM. Each path has one link, so its two duals are opposite: one is kept. */
    private void iterate(double penalty) {
        for (Replica path : replicas.values()) {
            for (int r = 0; r < requests; r++) {
                path.mean[r] = (path.x[r] + path.z[r]) / 2;
                path.dual[r] += (path.x[r] - path.mean[r]) / penalty;
            }
            project(path, penalty);
        }
        for (int r = 0; r < requests; r++) {
            double high = 2;
            double low = 0;
            for (int i = 0; i < BISECTIONS; i++) {
                double y = (low + high) / 2;
                double marginal = weight[r] / Math.pow(y, ALPHA);
                double sum = 0;
                for (Replica path : replicas.values()) {
                    sum += path.open(r) ? copy(path, r, penalty, marginal) : 0;
                }
                low = sum > y ? y : low;
                high = sum > y ? high : y;
            }
            double marginal = weight[r] / Math.pow((low + high) / 2, ALPHA);
            total[r] = 0;
            for (Replica path : replicas.values()) {
                path.x[r] = path.open(r) ? copy(path, r, penalty, marginal) : 0;
                total[r] += path.z[r];
            }
        }
    }

    /** A request's own copy of a path's rate, held at the current rate by the switching cost. */
    private double copy(Replica path, int r, double penalty, double marginal) {
        double current = path.published[r] * total[r];
        double cost = path.zone.equals(zones.get(r / classes)) ? 0 : crossing;
        double move = path.mean[r] + penalty * (marginal - path.dual[r] - cost) - current;
        return current + Math.signum(move) * Math.max(0, Math.abs(move) - penalty * THETA);
    }

    /** The link's copies: the nearest point whose sum stays within the capacity. */
    private void project(Replica link, double penalty) {
        double[] point = new double[requests];
        Arrays.setAll(point, r -> link.open(r) ? link.mean[r] + penalty * link.dual[r] : 0);
        double[] sorted = point.clone();
        Arrays.sort(sorted);
        double prefix = 0;
        double cut = 0;
        for (int i = 1; i <= requests; i++) {
            prefix += sorted[requests - i];
            double level = (prefix - link.capacity) / i;
            cut = level <= sorted[requests - i] ? Math.max(0, level) : cut;
        }
        for (int r = 0; r < requests; r++) {
            link.z[r] = Math.max(0, point[r] - cut);
        }
    }

    /** The paper's start of the penalty. Any request could have every link: its utopic total is 1. */
    private double penalty() {
        double least = Arrays.stream(weight).min().orElse(1);
        return ALPHA * Math.pow(least, (ALPHA - 1) / 2);
    }

    /** A line of a request's table, or its level where no replica is named, and how much it matters. */
    private record Change(int request, Replica replica, double to, double size) { }

    private void publish(Orders orders, boolean pressing) {
        double head = number("message.head", 0);
        double most = Math.floor(number("messages.limit", 0) * (pressing ? 1 : MESSAGE_PART));
        double expired = now - number("messages.span", 0);
        double part = pressing ? PRESSING_PART : CHANNEL_PART;
        double room = number("channel.limit", Double.MAX_VALUE) * part - queue();
        double[] bound = new double[zones.size()];
        double[] sent = new double[zones.size()];
        boolean[] full = new boolean[zones.size()];
        for (Proxy proxy : proxies.values()) {
            proxy.messages.removeIf(at -> at <= expired);
            bound[proxy.zone] += proxy.bound ? 1 : 0;
            full[proxy.zone] |= most > 0 && proxy.messages.size() >= most;
        }
        for (Change change : changes()) {
            int zone = change.request / classes;
            double cost = bound[zone] * (sent[zone] == 0 ? 2 + head : 1);
            if (full[zone] || cost > room) {
                held |= change.replica != null && change.to < change.replica.published[change.request]
                        && (change.to == 0 || change.replica.warmth() < 1);
                continue;
            }
            room -= cost;
            sent[zone]++;
            if (change.replica == null) {
                sentLevel[change.request] = change.to;
                orders.admit(change.request, 0, change.to, AGAIN);
            } else {
                change.replica.published[change.request] = change.to;
                orders.line(change.request, change.replica.id, change.to);
            }
        }
        serial = serial % LAST_SERIAL + 1;
        for (Proxy proxy : proxies.values()) {
            if (proxy.bound && sent[proxy.zone] > 0) {
                double lines = sent[proxy.zone] + 1 + head;
                queued += lines;
                proxy.messages.add(now);
                proxy.marks.add(new long[] {serial, now, (long) lines});
            }
        }
        if (IntStream.range(0, bound.length).anyMatch(zone -> bound[zone] > 0 && sent[zone] > 0)) {
            orders.mark(serial, false);
        }
        replicas.values().removeIf(replica -> replica.health == Listed.Health.GONE && !replica.inTables());
    }

    /** What differs enough from what was sent: removals first, then levels and new lines, then by size. */
    private List<Change> changes() {
        List<Change> changes = new ArrayList<>();
        double lines = replicas.values().stream().filter(Replica::usable).count();
        for (int r = 0; r < requests; r++) {
            double share = Math.round(level[r % classes] * 100) / 100.0;
            if (Math.abs(share - sentLevel[r]) > LEVEL_STEP || share == 1 && sentLevel[r] < 1) {
                changes.add(new Change(r, null, share, 1));
            }
            double sum = 0;
            for (Replica path : replicas.values()) {
                sum += path.allowed(r) ? path.z[r] : 0;
            }
            for (Replica path : replicas.values()) {
                double old = path.published[r];
                double rate = sum > 0 ? Math.max(FLOOR / lines, path.z[r] / sum) : old > 0 ? old : 1 / lines;
                // Guards a cold replica when one zone asks for far more than it reported, as when its proxies
                // have just come back: no table leans on it much more than the fleet does.
                rate = path.warmth() < 1 ? Math.min(rate, COLD_SPREAD * path.capacity + FLOOR / lines) : rate;
                double to = path.allowed(r) ? Math.round(rate * 1e5) / 1e5 : 0;
                double size = Math.abs(to - old);
                if (to == 0 ? old > 0 : size > SKIP * old) {
                    changes.add(new Change(r, path, to, to == 0 ? 2 : old == 0 ? 1 + size : size));
                }
            }
        }
        changes.sort(Comparator.comparingDouble(Change::size).reversed());
        return changes;
    }

    /** Lines that may wait in the channel: by its usual pace, or by marks long unanswered. */
    private double queue() {
        double pace = number("channel.pace", Double.MAX_VALUE) / 10_000;
        queued = Math.max(0, queued - (now - queuedAt) * pace);
        queuedAt = now;
        double patience = number("transit.longest", 0) + queued / pace + MARK_SLACK;
        double overdue = proxies.values().stream().flatMap(proxy -> proxy.marks.stream())
                .filter(mark -> now - mark[1] > patience).mapToDouble(mark -> mark[2]).sum();
        return Math.max(queued, overdue);
    }
}
