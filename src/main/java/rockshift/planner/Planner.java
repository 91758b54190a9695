package rockshift.planner;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import rockshift.model.ClassSet;
import rockshift.model.ControlScope;
import rockshift.model.Endpoint;
import rockshift.settings.AdmissionMode;
import rockshift.settings.PlannerSettings;

/**
 * All decisions of one governor. The host calls an input method for each thing it learns, then
 * {@link #decideNext} until that answers false; what is decided comes out through {@link
 * ProxyCommands}. Inputs only update what is known. Times are tenths of a millisecond on the host's
 * clock. The mechanism and every exception to it are explained in docs/design.md.
 */
public final class Planner extends PlannerState {
    // ---- constants: unit, and the reason for the size -------------------------------------------
    /** Tenths of a ms: the timer. A tenth of the gathering time, so that nothing due waits long. */
    private static final long TURN = 1_000;

    /** Tenths of a ms: the design's gathering time between two batches of differences. */
    private static final long GATHER = 10_000;

    /** Share of a line's weight: smaller changes are not sent (the design's tenth). */
    private static final double SKIP = 0.1;

    /**
     * Share of the channel's limit that joins and ordinary batches may fill (the design's half).
     */
    private static final double CHANNEL_PART = 0.5;

    /**
     * Share of the result that changed weights may cost in orders: what all else that is ordered
     * leaves.
     */
    private static final double CHANGES_WORTH = 0.03;

    /** Share of the message limit left to what can be put off; drains space out the rest. */
    private static final double MESSAGE_PART = 0.6;

    /**
     * Share of the drains' grace that what can be put off may take of the channel: drains wait
     * behind it.
     */
    private static final double PUT_OFF = 0.2;

    /**
     * Share of the grace after which those who wait count as laid too late: half is for a slower
     * channel.
     */
    private static final double IN_TIME = 0.5;

    /** Tenths of a ms: memory of the capacity estimates (the design starts at 10 s). */
    private static final double CAPACITY_MEMORY = 80_000;

    /** Answers: a replica heard of less leans on the mean of its kind. */
    private static final double PRIOR = 15;

    /** Share: a load report below it is mostly noise, and a rate over it would be as well. */
    private static final double LEAST_LOAD = 0.05;

    /** Part of their time: answers that seem to wait less may as well have brought less work. */
    private static final double LEAST_WAITED = 0.25;

    /** Tenths of a ms: memory of failures; short, as a failing replica does harm at once. */
    private static final double HEALTH_MEMORY = 50_000;

    /**
     * Tenths of a ms: memory of a proxy's rate; short, as callers come and go, but a few reports
     * long; and transactions that it reaches back for, as by fewer a rate is chance: no further
     * than capacities do.
     */
    private static final double DEMAND_MEMORY = 15_000;

    private static final double DEMAND_TRIES = 3;

    /** Exponent of the fairness; 1 is the design's start. */
    private static final double ALPHA = 1;

    /**
     * Mean lines that a line must be off, in the units of the dual, before it moves: the switching
     * cost.
     */
    private static final double THETA = 0.07;

    /**
     * Mean lines for the whole price of crossing zones: what a path that crosses bears in the
     * solve.
     */
    private static final double NEAR = 3;

    /**
     * Mean lines that a path bears beside, where all answers come late from afar: slow ways are
     * left.
     */
    private static final double LATE = 0.5;

    /**
     * Iterations a report round (the design's 5); most steps of the root search, and where it ends.
     */
    private static final int ITERATIONS = 5;

    private static final int BISECTIONS = 40;
    private static final double PRECISION = 1e-12;

    /** Share of an even line that every line keeps: enough to go on hearing of the replica. */
    private static final double FLOOR = 0.02;

    /** Demand that all requests in use share beside their own, so that each keeps a fair table. */
    private static final double LEAST_DEMAND = 0.02;

    /**
     * Transactions a line should get before its idle connection closes: fewer seldom find one open.
     */
    private static final double REUSE = 3.3;

    /**
     * Tables to hold each replica, so that load can shift; least lines of one; the part of them
     * near.
     */
    private static final double DEGREE = 12;

    private static final double LEAST_LINES = 8;
    private static final double NEAR_LINES = 0.75;

    /**
     * Times its demand that a place should reach in capacity, as a few proxies may bring most of
     * it; times the lines wanted up to which the fleet is laid whole; and the part left at which a
     * table is filled.
     */
    private static final double SPARE = 1.5;

    private static final double WHOLE = 1.5;
    private static final double REFILL = 0.75;

    /**
     * Tenths of a ms for which gone replicas are known, as proxies join with old tables; and open
     * marks.
     */
    private static final long REMEMBERED = 600_000;

    /** Tries: fewer say nothing about a replica. */
    private static final double FEW_TRIES = 3;

    /**
     * Share of failures beside twice the median that shuns a replica: what all suffer shuns nobody.
     */
    private static final double EXCESS_FAILURES = 0.35;

    /**
     * Share of the fleet that may be shunned at a time: the rest must bear all. Could keep a dead
     * one.
     */
    private static final double MOST_SHUNNED = 0.25;

    /** Load above which failures are put down to too much work. */
    private static final double OVERWORKED = 0.8;

    /** Tenths of a ms: memory of what came and was tried; two to four report periods. */
    private static final double FLOW_MEMORY = 40_000;

    /**
     * Share of the fleet's capacity that may be let in: above it queues outgrow the promised time.
     */
    private static final double FULL = 0.8;

    /**
     * Mean load of the fleet below which nothing is refused: a low estimate alone is no evidence.
     */
    private static final double BUSY = 0.6;

    /** Median share of failures up to which the fleet counts as calm, and its capacity as known. */
    private static final double CALM = 0.05;

    /** Part of the way that the calm rate moves a batch, and the part of it that a jam leaves. */
    private static final double STEADY_STEP = 0.3;

    private static final double JAM_PART = 0.75;

    /**
     * Median share of failures that means a jam; and tenths of a ms until reports tell how a pause
     * ended.
     */
    private static final double JAMMED = 0.6;

    private static final long AFTER_PAUSE = 50_000;

    /**
     * Level gained a batch at most: let in all at once, those who waited would jam the fleet again.
     */
    private static final double RISE = 0.2;

    /** Level: changes below it are not sent; and the least level of any class. */
    private static final double LEVEL_STEP = 0.02;

    private static final double LEAST_LEVEL = 0.05;

    /** Transactions a second at a proxy: the level that refuses none, where levels are rates. */
    private static final double ALL = 1e6;

    /**
     * Times a refused client comes again, at most; the refused share that tells; the step of
     * learning.
     */
    private static final double MOST_REPEATS = 3;

    private static final double TRUSTED = 0.15;
    private static final double REPEATS_STEP = 0.2;

    /** Share of what pushes a cold replica over that it may be sent, by the tries now made. */
    private static final double COLD_PART = 0.3;

    /** Times its part of the fleet's capacity that a cold replica may be of a whole table. */
    private static final double COLD_SPREAD = 1.5;

    /**
     * Times a cold replica's part that a proxy with a whole table may bring of a class: more is too
     * hot.
     */
    private static final double HOT = 40;

    /** Tenths of a ms: a shunned replica's first rest; it doubles up to the longest. */
    private static final long REST = 60_000;

    private static final long LONGEST_REST = 150_000;

    /** Tenths of a ms: the return after a rest, over which the weight grows from TRIAL to full. */
    private static final long RETURN = 50_000;

    private static final double TRIAL = 0.15;

    /**
     * Share of the channel's limit that drains may fill: the rest is a margin for a channel that is
     * slow.
     */
    private static final double PRESSING_PART = 0.6;

    /** Trying again only after proof that the first try never ran: safe for every class. */
    private static final int AGAIN = 1;

    // ---- state ----------------------------------------------------------------------------------
    private final RandomGenerator chance;
    private final boolean[] homebound;
    private final double head;
    private final double limit;
    private final double pace;
    private final double grace;
    private final double cap;
    private final double coldShare;
    private final double warmAfter;
    private final ChannelPacer channel;
    private final List<ProxyGroup> places = new ArrayList<>();

    /**
     * Requests that have proxies now, and the links that they use; lines that a table should have.
     */
    private List<RoutingTable> requests = List.of();

    private List<Replica> links = List.of();
    private double lines;
    private final TreeSet<Due> dues =
            new TreeSet<>(
                    Comparator.comparingLong(Due::at)
                            .thenComparing(Due::batch)
                            .thenComparing(Due::replica)
                            .thenComparing(Due::far));
    private boolean held;
    // By class: the level, and what it was over time.
    private final double all;
    private final double[] level;
    private final double[] letIn;
    private double repeats;
    private double expected;
    private double fleetRate;
    private double steadyRate;

    /** What joined proxies usually get, and its means over what capacities and flows remember. */
    private double usual;

    private double usualThen;
    private double usualFlow;
    private double fleetLoad;

    /** The load of a replica that tells none. */
    private double untold = 1;

    private double medianFailures;
    private long pausedUntil;
    private long warnedAt;

    /** Work that falls due: the next batch, or the end of a shunned replica's rest in one view. */
    private record Due(long at, boolean batch, long replica, boolean far) {}

    public Planner(long now, long seed, PlannerSettings settings) {
        super(now, settings);
        chance = new SplittableRandom(seed);
        homebound = new boolean[classes];
        for (int k = 0; k < classes; k++) {
            homebound[k] = settings.classes().get(k).staysInZone();
        }
        head = number("message.head", 0);
        limit = number("channel.limit", Double.MAX_VALUE);
        pace = number("channel.pace", Double.MAX_VALUE) / 10_000;
        cap = turns(number("messages.limit", 0));
        grace = number("drain.grace", Double.POSITIVE_INFINITY);
        channel = new ChannelPacer(head, pace, now);
        coldShare = number("cold.share", 0.1);
        warmAfter = number("warm.after", 300_000);
        all = settings.admissionMode() == AdmissionMode.RATE_PER_SECOND ? ALL : 1;
        level = new double[classes];
        Arrays.fill(level, 1);
        letIn = level.clone();
        dues.add(new Due(now, true, 0, false));
    }

    // ---- decisions ------------------------------------------------------------------------------

    /** Takes one decision, if there is one to take now. */
    public boolean decideNext(ProxyCommands orders) {
        Due due = dues.first();
        if (unsettled) {
            waiting.values().forEach(this::settle);
            unsettled = false;
        } else if (!timerSet) {
            timerSet = true;
            urgent |= held;
            orders.wakeAfter(TURN);
        } else if (!notes.isEmpty()) {
            orders.log(notes.remove());
        } else if (urgent || due.at <= now && due.batch) {
            batch(orders);
        } else if (due.at <= now) {
            dues.pollFirst();
            giveBack(replicas.get(due.replica), due.far);
        } else if (!withdraw(orders) && !join(orders)) {
            return channel.mark(orders, now);
        }
        return true;
    }

    /**
     * Counts a proxy to its place; tables that nobody used, or that are not there yet, are laid
     * first.
     */
    private void settle(Proxy proxy) {
        int each = places.size() / zones.size();
        if (each > 0 && proxy.place == null) {
            proxy.place = places.get(proxy.zone * each + proxy.number % each);
            proxy.place.joined++;
        }
        urgent |= each == 0 || !proxy.place.laid;
    }

    private void giveBack(Replica replica, boolean far) {
        ReplicaObservations view = replica == null ? null : far ? replica.far : replica.near;
        if (view != null && view.shunned) {
            view.returned = now;
            replica.near.forget();
            replica.far.forget();
            notes.add("replica " + replica.id + " tried again");
        }
    }

    /**
     * Lays the tables of its place under the proxy that waits longest and has some; none without a
     * line.
     */
    private boolean join(ProxyCommands orders) {
        for (Proxy proxy : waiting.values()) {
            ProxyGroup place = proxy.place;
            // Guards the drains where many come at once, as all tables would reach the last too
            // late: one is
            // for all classes first, the strictest; others repeat as if nothing were ordered, if it
            // is safe.
            boolean brief =
                    queue() > putOff() / 2
                            && place != null
                            && place.shared.filled > 0
                            && number("again.unset", 0) <= AGAIN;
            double cost = laying(place, brief);
            // The longer it waits, the less it stands behind; after half the grace it presses like
            // a drain.
            double ripe = Math.min(1, (now - proxy.joinedAt) / (IN_TIME * grace));
            if (cost == Double.MAX_VALUE || spent(proxy, 1)) {
                continue;
            } else if (queue() > putOff() + ripe * (limit * PRESSING_PART - putOff())
                    || queue() + cost + head + 1
                            > limit * (ripe < 1 ? CHANNEL_PART : PRESSING_PART)) {
                return false;
            }
            waiting.remove(proxy.number);
            place.bound++;
            lay(orders, proxy, brief, cost);
            return true;
        }
        boolean calm =
                waiting.isEmpty()
                        && setControlScope == ControlScope.FULL
                        && queue() <= putOff() / 2;
        Optional<Proxy> next =
                proxies.values().stream()
                        .filter(
                                proxy ->
                                        calm
                                                && proxy.brief
                                                && laying(proxy.place, false) < Double.MAX_VALUE
                                                && !spent(proxy, MESSAGE_PART))
                        .findFirst();
        next.ifPresent(proxy -> lay(orders, proxy, false, laying(proxy.place, false)));
        return next.isPresent();
    }

    /** Whether a proxy has had a part of the messages that it may get. */
    private boolean spent(Proxy proxy, double part) {
        return cap > 0 && proxy.messages.size() >= cap * part;
    }

    private void lay(ProxyCommands orders, Proxy proxy, boolean brief, double cost) {
        double told =
                brief
                        ? orders.bindProxy(proxy.place.shared.number, proxy.number, ClassSet.all())
                        : 0;
        for (RoutingTable request : brief ? List.<RoutingTable>of() : proxy.place.requests) {
            told += orders.bindProxy(request.number, proxy.number, request.classes);
        }
        proxy.bound = true;
        proxy.brief = brief;
        channel.post(proxy, cost + told, now);
    }

    /**
     * Lines beside head and mark that laying a place's tables, or one, comes to; too many for none.
     */
    private double laying(ProxyGroup place, boolean brief) {
        boolean none =
                place == null
                        || !place.laid
                        || place.filled == 0
                        || setControlScope == ControlScope.NONE;
        return none
                ? Double.MAX_VALUE
                : brief ? place.shared.filled + 2 : place.filled + 2 * classes;
    }

    /**
     * Guards drains where the channel leaves proxies waiting with what they came with: who would be
     * laid too late is told to keep off all who left, where that is less to send than its tables.
     * They are let in again when none waits, so that no cold one meets old weights; that loses some
     * of their work.
     */
    private boolean withdraw(ProxyCommands orders) {
        if (waiting.isEmpty()) {
            Replica back =
                    setControlScope != ControlScope.FULL
                            ? null
                            : replicas.values().stream()
                                    .filter(replica -> replica.usable() && replica.withdrawn)
                                    .findFirst()
                                    .orElse(null);
            if (back != null) {
                back.withdrawn = false;
                proxies.values().forEach(proxy -> tell(orders, proxy, List.of(back), false));
            }
            return back != null;
        }
        // Once a turn: what has changed since is told in the next one.
        if (warnedAt == now || setControlScope == ControlScope.NONE) {
            return false;
        }
        warnedAt = now;
        List<Replica> out =
                replicas.values().stream().filter(replica -> !replica.usable()).toList();
        double ahead = queue();
        boolean told = false;
        for (Proxy proxy : waiting.values()) {
            double cost = laying(proxy.place, true);
            ahead += cost + head + 1;
            long since = Math.max(proxy.joinedAt, proxy.warnedAt);
            boolean late =
                    now - since + ahead / pace + number("transit.longest", 0) > IN_TIME * grace;
            if (late
                    && proxy.warnedAt < lostAt
                    && out.size() < cost
                    && queue() + out.size() + head + 1 <= limit * PRESSING_PART
                    && !spent(proxy, 1)) {
                proxy.warnedAt = now;
                tell(orders, proxy, out, true);
                told = true;
            }
        }
        return told;
    }

    private void tell(ProxyCommands orders, Proxy proxy, List<Replica> about, boolean out) {
        int cost = 0;
        for (Replica replica : about) {
            replica.withdrawn = out;
            cost += orders.notifyDraining(replica.id, out, proxy.number);
        }
        if (cost > 0) {
            channel.post(proxy, cost, now);
        }
    }

    /** Judges, solves and sends the differences, those of drains first. */
    private void batch(ProxyCommands orders) {
        // Pressing ones do not put the ordinary one off: a list that keeps changing would for ever.
        boolean ordinary = dues.removeIf(due -> due.batch && due.at <= now);
        urgent = held = false;
        heed();
        deal();
        fade();
        judge();
        weighDemand();
        estimate();
        setLevels();
        if (ordinary) {
            double penalty = RoutingTable.penalty(requests, ALPHA);
            for (int i = 0; i < ITERATIONS; i++) {
                iterate(penalty);
            }
            dues.add(new Due(now + GATHER, true, 0, false));
        }
        publish(orders, ordinary);
    }

    /**
     * Keeps out whom staff asked to, unless nobody else could answer: no proxy is left without a
     * replica. A class that must stay in its zone keeps one in each. Could go on with one that
     * staff need to stop.
     */
    private void heed() {
        boolean bound = IntStream.range(0, classes).anyMatch(k -> homebound[k]);
        replicas.values()
                .forEach(
                        replica ->
                                replica.keptOut =
                                        replica.started
                                                <= asked.getOrDefault(replica.id, Long.MIN_VALUE));
        lostAt = asked.isEmpty() ? lostAt : now;
        List<Replica> left = replicas.values().stream().filter(Replica::usable).toList();
        for (Replica replica : replicas.values()) {
            replica.keptOut =
                    replica.keptOut
                            && left.stream()
                                    .anyMatch(other -> !bound || other.zone.equals(replica.zone));
        }
    }

    /**
     * Deals each place its replicas. Where whole tables fit the channel and the connections, all
     * get all. Else a zone's proxies fall into several places, three lines in four near, dealt so
     * that each replica is held about equally often, and more where demand needs it; what was dealt
     * stays.
     */
    private void deal() {
        List<Replica> usable = replicas.values().stream().filter(Replica::usable).toList();
        if (places.isEmpty() && !usable.isEmpty() && !proxies.isEmpty() && classes > 0) {
            open(usable.size());
        }
        replicas.values().stream()
                .filter(other -> !other.usable() && other.heldNear + other.heldFar > 0)
                .forEach(gone -> places.forEach(place -> place.remove(gone)));
        for (ProxyGroup place : places) {
            double has = place.members.size();
            double demand = place.requests.stream().mapToDouble(request -> request.weight).sum();
            double reach = waiting.isEmpty() ? place.requests.get(0).utopic : 0;
            double needs = Math.max(lines, reach > 0 ? has * SPARE * demand / reach : 0);
            if (has < REFILL * Math.min(needs, usable.size())) {
                fill(place, usable, true, Math.ceil((needs - has) * NEAR_LINES));
                fill(place, usable, false, Math.floor((needs - has) * (1 - NEAR_LINES)));
            }
        }
        double each = places.size() * lines / usable.size();
        for (Replica replica : usable) {
            spread(replica, true, Math.max(1, Math.floor(each * NEAR_LINES)) - replica.heldNear);
            spread(replica, false, Math.floor(each * (1 - NEAR_LINES)) - replica.heldFar);
        }
        for (ProxyGroup place : places) {
            for (RoutingTable request : place.requests) {
                place.members.forEach(
                        (id, member) ->
                                request.paths.computeIfAbsent(
                                        id, key -> new Route(request, member)));
            }
        }
    }

    /** Adds so many of those that the fewest places hold, of its zone or of the others. */
    private void fill(ProxyGroup place, List<Replica> usable, boolean near, double more) {
        usable.stream()
                .filter(replica -> place.lacks(replica, near) && !replica.near.shunned)
                .sorted(
                        Comparator.comparingInt(
                                        (Replica other) -> near ? other.heldNear : other.heldFar)
                                .thenComparingLong(replica -> order(place, replica)))
                .limit((long) Math.max(0, more))
                .forEach(place::add);
    }

    /** Adds a replica to the shortest tables of its zone or the others. */
    private void spread(Replica replica, boolean near, double more) {
        if (more >= 1) {
            places.stream()
                    .filter(place -> place.lacks(replica, near))
                    .sorted(
                            Comparator.comparingInt((ProxyGroup place) -> place.members.size())
                                    .thenComparingLong(place -> order(place, replica)))
                    .limit((long) more)
                    .forEach(place -> place.add(replica));
        }
    }

    /**
     * The same at every governor and after a restart: a proxy that moves finds its replicas again.
     */
    private static long order(ProxyGroup place, Replica replica) {
        return new SplittableRandom(replica.id * Short.MAX_VALUE + place.number).nextLong();
    }

    /** Opens the places, by what was told at start and what the first proxies usually get. */
    private void open(int usable) {
        double usual =
                proxies.values().stream().flatMapToDouble(proxy -> Arrays.stream(proxy.rate)).sum()
                        / proxies.size();
        double kept = usual * number("idle.close", Double.MAX_VALUE) / 10_000 / REUSE;
        double all = Math.max(proxies.size(), number("proxies", 0));
        double fits = (limit * number("governors", 1) / all - head) / classes - 2;
        lines = Math.max(LEAST_LINES, Math.floor(Math.min(kept, fits)));
        lines = usable <= WHOLE * lines ? Double.MAX_VALUE : lines;
        double each = Math.max(1, Math.ceil(DEGREE * usable / lines / zones.size()));
        int strictest = IntStream.range(0, classes).filter(k -> homebound[k]).findFirst().orElse(0);
        for (String zone : zones) {
            IntStream.range(0, (int) each)
                    .forEach(
                            i ->
                                    places.add(
                                            new ProxyGroup(
                                                    places.size(), zone, classes, strictest)));
        }
        proxies.values().forEach(this::settle);
    }

    /** Old evidence fades, by the time passed and not by the number of reports. */
    private void fade() {
        double capacityKept = Math.exp((fadedAt - now) / CAPACITY_MEMORY);
        double healthKept = Math.exp((fadedAt - now) / HEALTH_MEMORY);
        double flowKept = Math.exp((fadedAt - now) / FLOW_MEMORY);
        // Reports tell of a time when others were joined: when governors die, the last one has all
        // their
        // proxies, and its estimates would stay at its old part of the fleet as long as they
        // remember. Two
        // report periods pass until new proxies are in. Could mistake one that gets far from its
        // usual.
        double lag = 2 * number("report.period", 0);
        double thenKept = flowTime > 0 ? Math.exp((fadedAt - now) / (CAPACITY_MEMORY + lag)) : 0;
        double flowThenKept = flowTime > 0 ? Math.exp((fadedAt - now) / (FLOW_MEMORY + lag)) : 0;
        usual = proxies.values().stream().mapToDouble(proxy -> proxy.usualRate).sum();
        usualThen = usualThen * thenKept + usual * (1 - thenKept);
        usualFlow = usualFlow * flowThenKept + usual * (1 - flowThenKept);
        hottest *= Math.exp((double) (fadedAt - now) / REMEMBERED);
        fadedAt = now;
        // What a cold replica answers tells nothing of what it will when it is warm.
        replicas.values()
                .forEach(each -> each.fade(warmth(each) < 1 ? 0 : capacityKept, healthKept));
        if (heardTime > 0) {
            boolean first = flowTime == 0;
            flowSpan =
                    first
                            ? heardTime * flowKept
                            : flowSpan * flowKept + FLOW_MEMORY * (1 - flowKept);
            heardSpan =
                    (first ? heardTime : heardSpan) * capacityKept
                            + (first ? 0 : CAPACITY_MEMORY * (1 - capacityKept));
            heardTime = heardTime * capacityKept + CAPACITY_MEMORY * (1 - capacityKept);
            flowTime = flowTime * flowKept + FLOW_MEMORY * (1 - flowKept);
            fadeFlow(flowKept);
            for (int k = 0; k < classes; k++) {
                letIn[k] = letIn[k] * flowKept + level[k] * (1 - flowKept);
            }
        }
    }

    /** Times what joined proxies usually got then that they get now. */
    private double grown(double then) {
        return usual > 0 && then > 0 ? usual / then : 1;
    }

    /**
     * Replicas are judged by their share of failures against the fleet's median, who loses most
     * first.
     */
    private void judge() {
        double[] shares =
                replicas.values().stream()
                        .filter(Replica::usable)
                        .map(Replica::seen)
                        .filter(view -> view.tries >= FEW_TRIES)
                        .mapToDouble(ReplicaObservations::failureShare)
                        .sorted()
                        .toArray();
        medianFailures = shares.length == 0 ? 0 : shares[(shares.length - 1) / 2];
        double room =
                MOST_SHUNNED * links.size()
                        - links.stream().filter(link -> link.near.shunned).count();
        for (Replica replica :
                links.stream().sorted(Comparator.comparing(r -> -r.lost())).toList()) {
            // A cut between zones looks like death from one side only: while its own zone does well
            // with a
            // replica, the others alone shun it. Could keep a dying one for those near it a little
            // longer.
            boolean well = replica.near.tries >= FEW_TRIES && !failing(replica.near);
            if (replica.usable()
                    && failing(well ? replica.far : replica.seen())
                    && (well || room > 0)) {
                room -= well || replica.near.shunned ? 0 : 1;
                shun(replica, well ? replica.far : replica.near);
            }
        }
    }

    /**
     * Too much work makes a replica fail as well, and shunning it would push the next one over: a
     * busy one is left to the capacity estimate. A hung one tells no load, and counts as idle.
     */
    private boolean failing(ReplicaObservations view) {
        return view.tries >= FEW_TRIES
                && view.busy <= OVERWORKED * view.tries
                && view.failureShare() > 2 * medianFailures + EXCESS_FAILURES;
    }

    private void shun(Replica replica, ReplicaObservations view) {
        if (!view.shunned) {
            boolean far = view == replica.far;
            view.shunned = true;
            view.rest =
                    now - view.returned > RETURN + GATHER
                            ? REST
                            : Math.min(LONGEST_REST, 2 * view.rest);
            dues.add(new Due(now + view.rest + chance.nextLong(GATHER), false, replica.id, far));
            notes.add(
                    String.format(
                            Locale.ROOT,
                            "replica %d shunned%s, failures %.2f, median %.2f, load %.2f",
                            replica.id,
                            far ? " by far" : "",
                            replica.seen().failureShare(),
                            medianFailures,
                            busy(replica)));
        }
    }

    /** Request weights: shares of demand, by place and class. */
    private void weighDemand() {
        places.forEach(ProxyGroup::reckon);
        expected = 0;
        for (Proxy proxy : proxies.values()) {
            for (int k = 0; k < classes && proxy.place != null; k++) {
                double few = Math.min(CAPACITY_MEMORY, DEMAND_TRIES * 10_000 / proxy.rate[k]);
                proxy.reckon(k, 1 - Math.exp(-proxy.span[k] / (DEMAND_MEMORY + few)));
                proxy.place.requests.get(k).weight += proxy.rate[k];
                expected += proxy.rate[k] / 10_000;
                proxy.place.hottest = Math.max(proxy.place.hottest, proxy.rate[k]);
                hottest = Math.max(hottest, proxy.rate[k]);
            }
        }
        requests =
                places.stream()
                        .filter(place -> place.joined > 0)
                        .flatMap(place -> place.requests.stream())
                        .toList();
        double all = Math.max(expected * 10_000, Double.MIN_NORMAL);
        double even = LEAST_DEMAND / requests.size();
        requests.forEach(
                request -> request.weight = (request.weight / all + even) / (1 + LEAST_DEMAND));
        replicas.values().forEach(replica -> replica.used.clear());
        requests.forEach(
                request -> request.paths.values().forEach(path -> path.link.used.add(path)));
        links = replicas.values().stream().filter(replica -> !replica.used.isEmpty()).toList();
    }

    /**
     * Capacities as shares of their sum. A replica's is its answered rate over its load: what it
     * would answer if it were busy all the time, of which our own proxies' part is ours. The
     * answered rate alone follows the weight that it was given, and feeds on itself. Few answers
     * lean on the kind's mean.
     */
    private void estimate() {
        // Where nobody tells a load, what answers waited does: a part of their time that is its
        // square, as
        // two cores wait. Taken for full, a fleet would be let in 0.8 of what it answers, ever
        // less.
        untold =
                links.stream().anyMatch(link -> link.busyTries > 0)
                        ? 1
                        : Math.sqrt(Math.max(LEAST_WAITED, waited()));
        TreeMap<String, DoubleSummaryStatistics> kinds = new TreeMap<>();
        DoubleSummaryStatistics fleet = new DoubleSummaryStatistics();
        for (Replica replica : links) {
            if (replica.usable() && replica.answered >= 1) {
                double own = replica.answered / busy(replica);
                fleet.accept(own);
                kinds.computeIfAbsent(replica.kind, kind -> new DoubleSummaryStatistics())
                        .accept(own);
            }
        }
        double sum = 0;
        double reach = 0;
        double busy = 0;
        for (Replica replica : links) {
            double mean =
                    fleet.getCount() > 0 ? kinds.getOrDefault(replica.kind, fleet).getAverage() : 1;
            double own = replica.answered / busy(replica);
            double back = Math.min(1, TRIAL + (1 - TRIAL) * (now - replica.near.returned) / RETURN);
            double part = replica.near.shunned || !replica.usable() ? 0 : back * warmth(replica);
            replica.oldCapacity = replica.capacity;
            replica.capacity =
                    part * (replica.answered * own + PRIOR * mean) / (replica.answered + PRIOR);
            sum += replica.capacity;
            // What none of our proxies can reach, as behind a cut, is no capacity to admit by.
            if (replica.used.stream().anyMatch(path -> open(path))) {
                reach += replica.capacity;
                busy += replica.capacity * busy(replica);
            }
        }
        double rate = heardTime > 0 ? reach / heardTime : 0;
        fleetRate = grown(usualThen) * rate;
        fleetLoad = reach > 0 ? busy / reach : 0;
        // Guards a cold replica when all try far more than the fleet can do, or much of it is cold;
        // could
        // hold a new one back after a storm. Proxies just joined count by what they usually get.
        double asked = Math.max(expected, flowTime > 0 ? tried / flowTime : 0);
        double strain = rate > 0 ? asked / rate : 0;
        double bearable = COLD_PART * number("fall.multiple", 1);
        for (Replica replica : links) {
            replica.capacity *= warmth(replica) < 1 && strain > bearable ? bearable / strain : 1;
            replica.capacity = sum > 0 ? replica.capacity / sum : 0;
        }
        for (RoutingTable request : requests) {
            request.utopic = request.reach(this::open);
            for (Route path : request.paths.values()) {
                boolean known =
                        path.open
                                && request.oldWeight > 0
                                && path.link.oldCapacity > 0
                                && path.link.capacity > 0;
                path.open = open(path);
                path.allowed = allowed(path);
                path.carry(known, ALPHA);
            }
        }
    }

    /** Whether a request may use a path at all; some classes must stay in their zone. */
    private boolean allowed(Route path) {
        return path.link.usable()
                && (path.near || !homebound[path.request.type])
                && path.request.place.members.containsKey(path.link.id);
    }

    /**
     * Part of its full capacity that a replica has at least: a new one starts cold and warms
     * evenly.
     */
    private double warmth(Replica replica) {
        double age = Math.max(0, now - replica.started);
        return replica.started == 0 || age >= warmAfter
                ? 1
                : coldShare + (1 - coldShare) * age / warmAfter;
    }

    /** Share of its time that a replica was busy, for all who send to it. */
    private double busy(Replica replica) {
        return Math.max(
                LEAST_LOAD, replica.busyTries > 0 ? replica.busySum / replica.busyTries : untold);
    }

    /** Shunned near means for all, shunned far for those of other zones. */
    private boolean open(Route path) {
        return allowed(path) && !path.link.near.shunned && (path.near || !path.link.far.shunned);
    }

    /**
     * Levels: no more is let in than the fleet can answer, the lesser benefit refused first where
     * the goal allows it. Guards against too much demand and lost capacity of any cause, where
     * admission is a share. Could refuse too much while capacity is underrated, so a fleet that is
     * not busy refuses nothing.
     */
    private void setLevels() {
        if (settings.admissionMode() != AdmissionMode.FRACTION || flowTime == 0) {
            return;
        }
        // A refused client comes again; taken for new demand, it would have ever more refused. How
        // often is
        // learned from what passed beyond the tries seen, slowly, as tries end late. Could let in
        // too much.
        double passed = IntStream.range(0, classes).mapToDouble(k -> came[k] * letIn[k]).sum();
        double refused = 1 - passed / Arrays.stream(came).sum();
        double found =
                Math.max(0, Math.min(MOST_REPEATS, (passed / Math.max(1, tried) - 1) / refused));
        repeats += refused > TRUSTED ? REPEATS_STEP * (found - repeats) : 0;
        // At a start the times are too safe, up to a half: only an overworked fleet gets more than
        // is told.
        boolean calm = fleetLoad < OVERWORKED;
        double[] each = new double[classes];
        double demand = 0;
        double benefits = 0;
        for (int k = 0; k < classes; k++) {
            each[k] =
                    grown(usualFlow)
                            * came[k]
                            / (calm ? flowSpan : Math.max(flowTime, flowSpan / 2))
                            / (1 + repeats * (1 - letIn[k]));
            demand += each[k];
            benefits += each[k] * number("class." + k + ".benefit", 1);
        }
        // In a jam answers fall though the capacity is there, and refusing by them would refuse
        // nearly all:
        // the rate of calmer times holds the room up. Too high where much capacity is really lost.
        double step = steadyRate == 0 ? 1 : medianFailures < CALM ? STEADY_STEP : 0;
        steadyRate += step * (fleetRate / Math.max(usual, Double.MIN_NORMAL) - steadyRate);
        double able = calm ? fleetRate * heardTime / heardSpan : fleetRate;
        double room = FULL * Math.max(able, JAM_PART * steadyRate * usual);
        // In a full jam servers work on what nobody waits for any more, whatever is still let in.
        // Letting in
        // next to nothing until the oldest has timed out frees them at once; costs that time if it
        // is wrong.
        if (medianFailures > JAMMED && fleetLoad > OVERWORKED && now > pausedUntil + AFTER_PAUSE) {
            for (int k = 0; k < classes; k++) {
                pausedUntil =
                        Math.max(pausedUntil, now + (long) number("class." + k + ".time.limit", 0));
            }
            notes.add(
                    String.format(
                            Locale.ROOT, "jam, median of failures %.2f, pausing", medianFailures));
        }
        double ofWorst = number("goal.worst.class", 0);
        int lesser = -1;
        double least = 1 / demand;
        for (int k = 0; k < classes; k++) {
            double benefit = number("class." + k + ".benefit", 1);
            double loss = (1 - ofWorst) * benefit / benefits + ofWorst / each[k];
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

    /**
     * One iteration of FD-ADMM. Each path has one link, so its two duals are opposite: one is kept.
     */
    private void iterate(double penalty) {
        for (Replica link : links) {
            link.used.forEach(path -> path.average(penalty));
            project(link, penalty);
        }
        // The switching cost and the cost of crossing, in mean lines moved an iteration.
        double line = 1.0 / Math.max(1, links.stream().mapToInt(link -> link.used.size()).sum());
        double cross = NEAR * number("price.crossing", 0);
        for (RoutingTable request : requests) {
            root(request, penalty, THETA * line, cross, line);
        }
    }

    /**
     * The root search for the class total, and the request's copies: the switching cost holds them.
     */
    private void root(
            RoutingTable request, double penalty, double theta, double cross, double line) {
        List<Route> open = request.paths.values().stream().filter(path -> path.open).toList();
        double rate = request.total / request.scale;
        double[] current = open.stream().mapToDouble(path -> path.published * rate).toArray();
        double[] move = new double[current.length];
        for (int i = 0; i < move.length; i++) {
            Route path = open.get(i);
            double late =
                    path.link.far.tries > 0 ? LATE * path.link.far.late / path.link.far.tries : 0;
            move[i] =
                    path.mean
                            - penalty * path.dual
                            - (path.near ? 0 : (cross + late) * line)
                            - current[i];
        }
        double high = 2;
        double low = 0;
        double marginal = 0;
        double y = request.total > 0 && request.total < high ? request.total : 1;
        // A step by the slope where that stays between the bounds, else by halves.
        for (int i = 0; i < BISECTIONS && high - low > PRECISION; i++) {
            marginal = penalty * request.weight / (ALPHA == 1 ? y : Math.pow(y, ALPHA));
            double sum = 0;
            int moving = 0;
            for (int p = 0; p < move.length; p++) {
                double to = Math.abs(move[p] + marginal) - theta;
                sum += current[p] + (to <= 0 ? 0 : move[p] + marginal > 0 ? to : -to);
                moving += to > 0 ? 1 : 0;
            }
            low = sum > y ? y : low;
            high = sum > y ? high : y;
            double step = (sum - y) / (1 + moving * ALPHA * marginal / y);
            low = Math.abs(step) <= PRECISION ? high : low;
            y = y + step > low && y + step < high ? y + step : (low + high) / 2;
        }
        request.total = 0;
        for (int p = 0; p < move.length; p++) {
            double to = move[p] + marginal;
            open.get(p).x = current[p] + Math.signum(to) * Math.max(0, Math.abs(to) - theta);
            request.total += open.get(p).z;
        }
    }

    /** The link's copies: the nearest point whose sum stays within the capacity. */
    private void project(Replica link, double penalty) {
        link.used.forEach(path -> path.z = path.open ? path.mean + penalty * path.dual : 0);
        double cut =
                SimplexProjection.cut(
                        link.used.stream().mapToDouble(path -> path.z).toArray(), link.capacity);
        link.used.forEach(path -> path.z = Math.max(0, path.z - cut));
    }

    /**
     * A line of a request's table, or its level where no path is named, and how much it matters.
     */
    private record Change(RoutingTable request, Route path, double to, double size) {}

    private void publish(ProxyCommands orders, boolean gathered) {
        double most = Math.floor(cap * MESSAGE_PART);
        double span = number("messages.span", 0);
        double room = limit * PRESSING_PART - queue();
        // Who waits may hold what left long ago: nothing that can be put off goes before it.
        boolean first =
                waiting.values().stream()
                        .anyMatch(
                                proxy ->
                                        proxy.joinedAt < now
                                                && laying(proxy.place, true) < Double.MAX_VALUE);
        double ordinary = first ? 0 : putOff() - queue();
        double share = Math.min(CHANNEL_PART, CHANGES_WORTH / number("price.orders", 0));
        double weights = gathered ? share * pace * 10_000 : 0;
        for (Proxy proxy : proxies.values()) {
            proxy.messages.removeIf(at -> at <= now - span);
            if (proxy.bound && cap > 0 && proxy.messages.size() >= most) {
                proxy.place.full = true;
                proxy.place.barred |=
                        proxy.messages.size() >= cap
                                || now - proxy.messages.getLast() < span / (cap - most);
            }
        }
        Set<RoutingTable> bare =
                requests.stream()
                        .filter(
                                request ->
                                        request.paths.values().stream()
                                                .noneMatch(
                                                        path -> path.published > 0 && path.allowed))
                        .collect(Collectors.toSet());
        for (Change change : changes()) {
            // What left the list comes out, and a table without a line gets one: at once, also when
            // cut off.
            // All else but a cold replica's cut is gathered, or rides along: in a release it would
            // fill the
            // channel by handfuls, each with its heads. Who doubles as the largest line left, rides
            // too.
            ProxyGroup place = change.request.place;
            boolean owed = change.path != null && (change.to == 0 || bare.contains(change.request));
            double old = change.path == null ? 0 : change.path.published;
            boolean cold = change.to < old && warmth(change.path.link) < 1;
            boolean lift = place.sent > 0 && old > 0 && change.to > 2 * old;
            boolean guard = owed || lift || cold && (!first || 2 * change.to < old);
            boolean atOnce =
                    owed
                            || lift
                            || cold && 2 * change.to < old
                            || place.bound == 0
                            || place.sent > 0 && old == 0 && change.path != null;
            if (setControlScope == ControlScope.NONE
                    || setControlScope == ControlScope.REMOVALS_ONLY && !owed
                    || !gathered && !atOnce) {
                continue;
            }
            double cost = place.bound * (place.sent == 0 ? 2 + head : 1);
            double left = guard ? room : old > 0 ? Math.min(weights, ordinary) : ordinary;
            if (cost > 0 && (cost > left || (guard ? place.barred : place.full))) {
                held |= owed;
                continue;
            }
            room -= cost;
            ordinary -= cost;
            weights -= old > 0 && !guard ? cost : 0;
            if (change.path == null) {
                change.request.sentLevel = change.to;
                orders.setAdmissionLevel(
                        change.request.number, change.request.classes, change.to * all, AGAIN);
                change.request.sent++;
                place.sent++;
            } else {
                change.path.published = change.to;
                int lines =
                        orders.setTableEntry(change.request.number, change.path.link.id, change.to);
                change.request.sent += lines;
                place.sent += lines;
            }
        }
        for (Proxy proxy : proxies.values()) {
            double sent =
                    !proxy.bound ? 0 : proxy.brief ? proxy.place.shared.sent : proxy.place.sent;
            if (sent > 0) {
                channel.post(proxy, sent, now);
            }
        }
        for (ProxyGroup place : places) {
            place.published(orders);
            place.requests.forEach(
                    request ->
                            request.paths
                                    .values()
                                    .removeIf(
                                            path ->
                                                    path.published == 0
                                                            && !path.allowed
                                                            && path.link.paths.remove(path)));
        }
        for (Replica old : List.copyOf(replicas.values())) {
            if (old.health == Endpoint.Health.GONE
                    && !old.inTables()
                    && now > old.changed + REMEMBERED) {
                replicas.remove(old.id);
                orders.forgetReplica(old.id);
            }
        }
    }

    /**
     * What differs enough from what was sent: removals first, then levels and new lines, then by
     * size.
     */
    private List<Change> changes() {
        List<Change> changes = new ArrayList<>();
        for (RoutingTable request : requests) {
            double share = Math.round(level[request.type] * 100) / 100.0;
            if (Math.abs(share - request.sentLevel) > LEVEL_STEP
                    || share == 1 && request.sentLevel < 1) {
                changes.add(new Change(request, null, share, 1));
            }
            target(request);
            for (Route path : request.paths.values()) {
                double old = path.published;
                double to = path.allowed ? (float) (path.target * request.scale) : 0;
                double size = Math.abs(to - old) / request.scale;
                if (to == 0 ? old > 0 : size * request.scale > SKIP * old) {
                    changes.add(
                            new Change(
                                    request, path, to, to == 0 ? 2 : old == 0 ? 1 + size : size));
                }
            }
        }
        changes.sort(Comparator.comparingDouble(Change::size).reversed());
        return changes;
    }

    /**
     * The published point: each line's part of its table, and the scale of what stands there. What
     * remains of a table after removals keeps its scale, so that no line need be sent anew for
     * another's going.
     */
    private void target(RoutingTable request) {
        List<Route> allowed = request.paths.values().stream().filter(path -> path.allowed).toList();
        double sum = allowed.stream().mapToDouble(path -> path.z).sum();
        double top =
                allowed.stream()
                        .mapToDouble(way -> warmth(way.link) == 1 ? way.z : 0)
                        .max()
                        .orElse(0);
        double beside = sum > 0 ? 1 - top / sum : 1;
        double least = FLOOR / allowed.size();
        double all = 1;
        // Guards a cold replica when proxies leave out lines where they failed. In a short table
        // all warm
        // ones may go: cold ones share what comes then by capacity, and none stays where a proxy
        // brings part
        // of what pushes all over, or one elsewhere brought all of it. Whole tables lean on none,
        // either.
        boolean whole = lines == Double.MAX_VALUE;
        double fleet = expected * 10_000 * Math.max(1, number("proxies", 0) / proxies.size());
        double brought = Math.max(request.place.hottest, whole ? 0 : COLD_PART * hottest);
        double cold = request.reach(path -> path.allowed && warmth(path.link) < 1);
        double bearable = COLD_PART * number("fall.multiple", 1) * cold * fleet / classes;
        for (int i = 0; i < ITERATIONS; i++) {
            double left = all;
            all = 0;
            for (Route path : allowed) {
                double part =
                        sum > 0
                                ? Math.max(least, path.z / sum)
                                : path.published > 0
                                        ? path.published / request.scale
                                        : 1.0 / allowed.size();
                double fair =
                        beside * path.link.capacity / Math.max(request.utopic, Double.MIN_NORMAL);
                double most =
                        whole ? Math.min(part, left * (COLD_SPREAD * fair + least)) : left * fair;
                double hot = whole ? HOT * path.link.capacity * expected * 10_000 : bearable;
                double held = top > 0 && brought > hot ? 0 : Math.max(least, most);
                path.target = warmth(path.link) == 1 ? part : held;
                all += path.target;
            }
        }
        double standing = allowed.stream().mapToDouble(path -> path.published).sum();
        double targets =
                allowed.stream().mapToDouble(path -> path.published > 0 ? path.target : 0).sum();
        request.scale = request.place.bound > 0 && targets > 0 ? standing / targets : 1;
    }

    /**
     * Lines that may wait at most before what can be put off: one message to each proxy goes in any
     * case.
     */
    private double putOff() {
        double usual = Math.max(PUT_OFF * grace * pace, proxies.size() * (head + 2));
        return Math.min(limit * CHANNEL_PART, usual);
    }

    private double queue() {
        return channel.queue(now, number("transit", 0), REMEMBERED, proxies.values());
    }
}
