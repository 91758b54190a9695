package rockshift.planner;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import rockshift.model.ControlScope;
import rockshift.model.Endpoint;
import rockshift.model.Ticks;
import rockshift.settings.ClassNames;
import rockshift.settings.ClassSettings;
import rockshift.settings.PlannerSettings;
import rockshift.settings.SettingOverrides;

/**
 * Makes all decisions of one controller. The host calls an input method for each event that it
 * learns of, then calls {@link #decideNext} until that returns false; these calls are one turn. The
 * planner passes its decisions to {@link ProxyCommands}. Input methods only update what is known.
 * Times are ticks of 100 microseconds on the host's clock. docs/design.md explains the mechanism
 * and its exceptions.
 *
 * <p>Not thread-safe: an instance belongs to one thread of its host.
 */
public final class Planner {
    /** A tenth of the interval between regular rounds, so that due tasks do not wait long. */
    private static final long TIMER_TICKS = 100 * Ticks.TICKS_PER_MILLI;

    /** Interval between two regular rounds, during which table changes are batched. */
    static final long ROUND_INTERVAL_TICKS = Ticks.TICKS_PER_SECOND;

    private final PlannerSettings configuredSettings;
    private final ClassNames classNames;
    private final int classCount;
    private final double shortestObjectiveTicks;

    private final DecisionLog log = new DecisionLog();
    private final TaskSchedule schedule = new TaskSchedule();
    private final ReplicaRegistry replicas = new ReplicaRegistry(log);
    private final ProxyRegistry proxies;
    private final TrafficWindows traffic;
    private final BaselineRates baseline;
    private final OperatorDrains operatorDrains;
    private final ReplicaSubsetter subsetter;
    private final OutlierDetector outlierDetector;
    private final DemandEstimator demand;
    private final CapacityEstimator capacityEstimator;
    private final AdmissionController admission;
    private final AlphaFairSolver solver;
    private final TargetWeights targetWeights;
    private final ChannelPacer pacer;
    private final TablePublisher publisher;
    private final TableScheduler tableScheduler;
    private final DrainNotifier drainNotifier;
    private final KeptTablePolicy keptTablePolicy;

    private PlannerSettings settings;
    private ActiveRoutes activeRoutes = ActiveRoutes.NONE;
    private ControlScope scope = ControlScope.FULL;
    private long agreedVersion;
    private boolean agreedStateKnown = true;
    private long now;
    private long lastRoundTicks;
    private boolean timerSet;
    private boolean roundRequested = true;
    private boolean hasUnassignedProxies;
    private boolean requiredChangeDeferred;

    /**
     * Creates a planner that knows no replicas and no proxies.
     *
     * @param now time on the host's clock, in ticks
     * @param seed seed of the random choices
     */
    public Planner(long now, long seed, PlannerSettings settings) {
        this.now = now;
        this.settings = settings;
        configuredSettings = settings;
        classNames = settings.classNames();
        lastRoundTicks = now;
        // Shards keep their own tables, so the planner plans for no class.
        List<ClassSettings> classes = settings.sharded() ? List.of() : settings.classes();
        classCount = classes.size();
        shortestObjectiveTicks =
                classes.stream().mapToDouble(ClassSettings::latencyObjectiveTicks).min().orElse(0);
        RouteEligibility eligibility = new RouteEligibility(classes);
        SlowStart slowStart =
                new SlowStart(
                        settings.initialSlowStartFraction(),
                        settings.slowStartTicks(),
                        settings.slowStartOverloadMultiple());
        proxies = new ProxyRegistry(settings, classCount);
        traffic = new TrafficWindows(classCount);
        baseline = new BaselineRates(settings.reportPeriodTicks());
        operatorDrains = new OperatorDrains(classes);
        subsetter = new ReplicaSubsetter(settings, classCount);
        outlierDetector = new OutlierDetector(new SplittableRandom(seed), schedule, log);
        demand = new DemandEstimator(now);
        capacityEstimator = new CapacityEstimator(slowStart, eligibility, outlierDetector);
        admission = new AdmissionController(settings.admissionMode(), classes, log);
        solver = new AlphaFairSolver(eligibility);
        targetWeights = new TargetWeights(slowStart, settings);
        pacer = new ChannelPacer(settings, proxies.all(), now);
        publisher =
                new TablePublisher(
                        settings.admissionMode(),
                        slowStart,
                        targetWeights,
                        new TableDifferences(admission),
                        pacer,
                        proxies);
        keptTablePolicy = new KeptTablePolicy(settings, replicas, eligibility);
        tableScheduler = new TableScheduler(settings, pacer, proxies, keptTablePolicy);
        drainNotifier = new DrainNotifier(settings, pacer, replicas, proxies);
        schedule.add(ScheduledTask.regularRound(now));
    }

    /**
     * Applies endpoints listed by discovery.
     *
     * @param changesOnly whether the list contains only changed endpoints rather than all
     */
    public void updateEndpoints(long now, List<Endpoint> endpoints, boolean changesOnly) {
        this.now = now;
        roundRequested |= replicas.update(now, endpoints, changesOnly);
    }

    /**
     * Applies drains and settings that operators agreed on. Ignores a version that is not newer
     * than the last one; while the agreed state is not known, an equal version replaces the last.
     *
     * @param drains by replica, the latest start time, in ticks, of a process that its drain
     *     applies to
     */
    public void applyAgreedChanges(
            long now, long version, Map<Long, Long> drains, SettingOverrides overrides) {
        this.now = now;
        if (version > agreedVersion || !agreedStateKnown && version == agreedVersion) {
            agreedVersion = version;
            operatorDrains.replace(drains);
            settings = configuredSettings.withOverrides(overrides);
            roundRequested = true;
        }
    }

    /**
     * Sets whether the last agreed changes that were applied are up to date. Until they are, no
     * change is made that safety does not require, and joined proxies keep their tables, unless
     * {@link KeptTablePolicy} finds that they may have no replica to use. A planner whose host
     * never calls this has no agreed changes to wait for.
     */
    public void setAgreedStateKnown(long now, boolean known) {
        this.now = now;
        if (known != agreedStateKnown) {
            roundRequested = true;
            log.add("agreedState known=" + known);
        }
        agreedStateKnown = known;
    }

    /** Returns the scope in force: without knowledge of the agreed state, at most removals. */
    private ControlScope effectiveScope() {
        return !agreedStateKnown && scope == ControlScope.FULL ? ControlScope.REMOVALS_ONLY : scope;
    }

    /** Sets the scope when the host loses or regains contact with most other controllers. */
    public void setControlScope(long now, ControlScope newScope) {
        this.now = now;
        roundRequested |= newScope != scope;
        scope = newScope;
        log.add("controlScope scope=" + newScope);
    }

    /**
     * Adds a proxy whose stream came up. Until it is bound, it uses the tables that it had.
     *
     * @param baselineRate usual rate of the proxy, in transactions per second
     * @param orderedTables whether its tables were written by a controller, not those of its start
     */
    public void proxyJoined(
            long now, int number, String zone, double baselineRate, boolean orderedTables) {
        this.now = now;
        proxies.join(now, number, zone, baselineRate, orderedTables);
        hasUnassignedProxies = true;
    }

    /** Removes a proxy whose stream ended. */
    public void proxyLeft(long now, int number) {
        this.now = now;
        proxies.leave(number);
    }

    /**
     * Records the attempts at a replica that proxies of a zone reported.
     *
     * @param meanResponseTicks mean response time
     * @param spanTicks time that the report covers
     * @param load fraction of time that the replica was busy, or null if it reported none
     */
    public void recordLoadReport(
            long now,
            String zone,
            long replicaId,
            int attempts,
            int failures,
            long meanResponseTicks,
            long spanTicks,
            Double load) {
        this.now = now;
        Replica replica = replicas.get(replicaId);
        if (replica != null) {
            traffic.addAttempts(attempts, failures, meanResponseTicks, spanTicks);
            int late = meanResponseTicks > shortestObjectiveTicks ? attempts - failures : 0;
            replica.recordReport(zone, attempts, failures, late, load);
            if (attempts > failures) {
                keptTablePolicy.recordServed(zone, now);
            }
        }
    }

    /**
     * Records the requests of a class that a proxy reported for a span.
     *
     * @param arrivals requests that reached the proxy
     * @param failures requests that it could not serve
     */
    public void recordUsage(
            long now, int number, String className, int arrivals, int failures, long spanTicks) {
        this.now = now;
        Proxy proxy = proxies.get(number);
        int classNumber = classNames.number(className);
        if (proxy != null && spanTicks > 0 && classNumber >= 0 && classNumber < classCount) {
            traffic.addArrivals(classNumber, arrivals);
            proxy.demands().get(classNumber).addReport(arrivals, spanTicks, now);
            proxy.recordServed(classNumber, arrivals, failures, now);
        }
    }

    /** Records that a proxy has applied the messages up to a serial number. */
    public void proxyAcknowledged(long now, int number, int serial) {
        this.now = now;
        Proxy proxy = proxies.get(number);
        if (proxy != null) {
            proxy.sendState().acknowledge(serial);
        }
    }

    /** Handles the timer that {@link ProxyCommands#wakeAfter} requested. */
    public void timerFired(long now) {
        this.now = now;
        timerSet = false;
        proxies.recordMissedReports(now);
    }

    /**
     * Performs the first of these steps that has something to do: assign joined proxies to groups;
     * arm the timer; write one log line; run a planning round; end one ejection; send or withdraw
     * drain notices; bind one waiting proxy; replace the provisional table of one proxy; close the
     * turn's messages.
     *
     * @return whether a step was performed
     */
    public boolean decideNext(ProxyCommands commands) {
        if (hasUnassignedProxies) {
            assignWaitingProxies();
        } else if (!timerSet) {
            armTimer(commands);
        } else if (!log.isEmpty()) {
            commands.log(log.remove());
        } else if (roundRequested || schedule.isNextDue(ScheduledTask.Kind.REGULAR_ROUND, now)) {
            runPlanningRound(commands);
        } else if (schedule.isNextDue(ScheduledTask.Kind.END_OF_EJECTION, now)) {
            endNextEjection();
        } else if (!sendToProxies(commands, effectiveScope())) {
            return pacer.closeTurn(commands, now);
        }
        return true;
    }

    private boolean sendToProxies(ProxyCommands commands, ControlScope effective) {
        return drainNotifier.sendOrWithdrawNotices(commands, effective, agreedStateKnown, now)
                || tableScheduler.bindNextWaiting(commands, effective, agreedStateKnown, now)
                || tableScheduler.upgradeNextProvisional(commands, effective, now);
    }

    private void assignWaitingProxies() {
        for (Proxy proxy : proxies.waiting()) {
            roundRequested |= subsetter.assignToGroup(proxy);
            keptTablePolicy.recordTables(proxy);
        }
        hasUnassignedProxies = false;
    }

    /** Arms the timer, and requests a round if a required change could not be sent. */
    private void armTimer(ProxyCommands commands) {
        timerSet = true;
        roundRequested |= requiredChangeDeferred;
        commands.wakeAfter(TIMER_TICKS);
    }

    private void endNextEjection() {
        ScheduledTask task = schedule.takeNext();
        outlierDetector.endEjection(replicas.get(task.replicaId()), task.scope(), now);
    }

    /** Runs one round: updates the estimates, determines the targets, and sends the differences. */
    private void runPlanningRound(ProxyCommands commands) {
        boolean regular = schedule.takeDueRegularRound(now);
        operatorDrains.applyOperatorDrains(replicas, now);
        roundRequested = subsetter.assignSubsets(replicas, proxies);
        proxies.waiting().forEach(keptTablePolicy::recordTables);
        decayEvidence();
        detectOutliers();
        updateDemand();
        FleetCapacity capacity = updateCapacities();
        updateAdmissionLevels(capacity);
        solver.warmStart(activeRoutes.tables());
        if (regular) {
            solver.solve(activeRoutes, settings.zoneCrossingPrice());
            // Only a regular round schedules the next one, so that frequent endpoint updates cannot
            // postpone it. A round that throws before this line schedules none.
            schedule.add(ScheduledTask.regularRound(now + ROUND_INTERVAL_TICKS));
        }
        publish(commands, regular);
    }

    /** Decays old evidence by the time passed, not by the number of reports. */
    private void decayEvidence() {
        long elapsedTicks = now - lastRoundTicks;
        lastRoundTicks = now;
        baseline.update(proxies.baselineRatePerSecond(), elapsedTicks, !traffic.isEmpty());
        capacityEstimator.decay(replicas.all(), elapsedTicks, now);
        outlierDetector.decay(replicas.all(), elapsedTicks);
        traffic.decay(elapsedTicks, admission.levels());
    }

    private void detectOutliers() {
        outlierDetector.detectOutliers(
                replicas.all(), activeRoutes.replicas(), capacityEstimator::loadOf, now);
    }

    private void updateDemand() {
        List<ProxyGroup> groups = subsetter.groups();
        List<RoutingTable> tables = ActiveRoutes.tablesInUse(groups);
        demand.update(proxies.all(), groups, tables, now);
        activeRoutes = ActiveRoutes.collect(tables, replicas.all());
    }

    private FleetCapacity updateCapacities() {
        return capacityEstimator.updateCapacities(
                activeRoutes.replicas(), traffic, baseline, demand.expectedPerTick(), now);
    }

    private void updateAdmissionLevels(FleetCapacity capacity) {
        admission.update(
                traffic,
                baseline,
                capacity,
                outlierDetector.medianFailureRatio(),
                settings.worstClassWeight(),
                now);
    }

    private void publish(ProxyCommands commands, boolean regular) {
        TargetWeights.RoundInputs round =
                targetWeights.roundInputs(
                        demand, proxies.all().size(), subsetter.coversWholeFleet(), now);
        requiredChangeDeferred =
                publisher.publish(
                        commands,
                        subsetter.groups(),
                        activeRoutes.tables(),
                        round,
                        effectiveScope(),
                        regular,
                        settings.commandPrice());
        for (ProxyGroup group : subsetter.groups()) {
            group.endBatch(commands);
            group.tables().forEach(RoutingTable::removeUnusedRoutes);
        }
        replicas.forgetGone(commands, now);
        drainNotifier.forgetGone();
    }
}
