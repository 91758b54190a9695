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
 * All decisions of one controller. The host calls an input method for each thing that it learns,
 * then {@link #decideNext} until that answers false; what is decided comes out through {@link
 * ProxyCommands}. Inputs only update what is known. Times are ticks of 100 microseconds on the
 * host's clock. docs/design.md explains the mechanism and its exceptions.
 *
 * <p>An instance belongs to one thread of its host.
 */
public final class Planner {
    /** A tenth of the time between regular rounds, so that nothing that falls due waits long. */
    private static final long TIMER_TICKS = 100 * Ticks.TICKS_PER_MILLI;

    /** Time between two regular rounds, in which differences are gathered. */
    private static final long ROUND_INTERVAL_TICKS = Ticks.TICKS_PER_SECOND;

    private final PlannerSettings configured;
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

    private PlannerSettings settings;
    private ActiveRoutes activeRoutes = ActiveRoutes.NONE;
    private ControlScope scope = ControlScope.FULL;
    private long agreedVersion;
    private long now;
    private long lastRoundTicks;
    private boolean timerSet;
    private boolean roundRequested = true;
    private boolean proxiesUnassigned;
    private boolean requiredIsDeferred;

    /**
     * A planner that knows no replicas and no proxies.
     *
     * @param now the time on the host's clock, in ticks
     * @param seed of the random choices
     */
    public Planner(long now, long seed, PlannerSettings settings) {
        this.now = now;
        this.settings = settings;
        configured = settings;
        classNames = settings.classNames();
        lastRoundTicks = now;
        // Shards have tables of their own: the planner then plans for no class.
        List<ClassSettings> classes = settings.sharded() ? List.of() : settings.classes();
        classCount = classes.size();
        shortestObjectiveTicks =
                classes.stream().mapToDouble(ClassSettings::latencyObjectiveTicks).min().orElse(0);
        RouteEligibility eligibility = new RouteEligibility(classes);
        SlowStart slowStart =
                new SlowStart(
                        settings.initialSlowStartFraction(),
                        settings.slowStartTicks(),
                        settings.coldOverloadMultiple());
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
        tableScheduler = new TableScheduler(settings, pacer, proxies);
        drainNotifier = new DrainNotifier(settings, pacer, replicas, proxies);
        schedule.add(ScheduledTask.regularRound(now));
    }

    // ---- inputs --------------------------------------------------------------------------------

    /** Discovery listed endpoints: only changed ones, or all. */
    public void updateEndpoints(long now, List<Endpoint> endpoints, boolean changesOnly) {
        this.now = now;
        roundRequested |= replicas.update(now, endpoints, changesOnly);
    }

    /**
     * Operators agreed on drains and settings. What is older than what is known means nothing.
     *
     * @param drains by replica, the last start that its drain applies to
     */
    public void applyAgreedChanges(
            long now, long version, Map<Long, Long> drains, SettingOverrides overrides) {
        this.now = now;
        if (version > agreedVersion) {
            agreedVersion = version;
            operatorDrains.replace(drains);
            settings = configured.withOverrides(overrides);
            roundRequested = true;
        }
    }

    /** The host is, or is no longer, in touch with most other controllers. */
    public void setControlScope(long now, ControlScope newScope) {
        this.now = now;
        roundRequested |= newScope != scope;
        scope = newScope;
        log.add("controlScope scope=" + newScope);
    }

    /**
     * A proxy's stream came up; the proxy keeps the tables that it had.
     *
     * @param baselineRate transactions a second that it usually receives
     */
    public void proxyJoined(long now, int number, String zone, double baselineRate) {
        this.now = now;
        proxies.join(now, number, zone, baselineRate);
        proxiesUnassigned = true;
    }

    /** A proxy's stream ended. */
    public void proxyLeft(long now, int number) {
        this.now = now;
        proxies.leave(number);
    }

    /**
     * Proxies of a zone reported their attempts at a replica.
     *
     * @param meanAnswerTicks mean time of the answers
     * @param spanTicks time that the report covers
     * @param load fraction of its time that the replica was busy, or null if it reported none
     */
    public void recordLoadReport(
            long now,
            String zone,
            long id,
            int count,
            int failed,
            long meanAnswerTicks,
            long spanTicks,
            Double load) {
        this.now = now;
        Replica replica = replicas.get(id);
        if (replica != null) {
            traffic.addAttempts(count, failed, meanAnswerTicks, spanTicks);
            int late = meanAnswerTicks > shortestObjectiveTicks ? count - failed : 0;
            replica.recordReport(zone, count, failed, late, load);
        }
    }

    /** A proxy reported its arrivals of a class over a span. */
    public void recordUsage(long now, int number, String className, int count, long spanTicks) {
        this.now = now;
        Proxy proxy = proxies.get(number);
        int classNumber = classNames.number(className);
        if (proxy != null && spanTicks > 0 && classNumber >= 0 && classNumber < classCount) {
            traffic.addArrivals(classNumber, count);
            proxy.demands().get(classNumber).addReport(count, spanTicks, now);
        }
    }

    /** A proxy has applied the messages up to a serial number. */
    public void proxyAcknowledged(long now, int number, int serial) {
        this.now = now;
        Proxy proxy = proxies.get(number);
        if (proxy != null) {
            proxy.sendState().acknowledge(serial);
        }
    }

    /** The timer that {@link ProxyCommands#wakeAfter} asked for fired. */
    public void timerFired(long now) {
        this.now = now;
        timerSet = false;
        proxies.expireSilence(now);
    }

    // ---- decisions -----------------------------------------------------------------------------

    /**
     * Takes the first of these steps that there is something to do for, and answers whether there
     * was one: assign joined proxies to groups; arm the timer; write one line of the log; run a
     * planning round; end one ejection; send or withdraw drain notices; bind one proxy; replace the
     * tables of one proxy; close the turn's messages.
     */
    public boolean decideNext(ProxyCommands commands) {
        if (proxiesUnassigned) {
            assignWaitingProxies();
        } else if (!timerSet) {
            armTimer(commands);
        } else if (!log.isEmpty()) {
            commands.log(log.remove());
        } else if (roundRequested || schedule.isNextDue(ScheduledTask.Kind.REGULAR_ROUND, now)) {
            runPlanningRound(commands);
        } else if (schedule.isNextDue(ScheduledTask.Kind.END_OF_EJECTION, now)) {
            endNextEjection();
        } else if (!drainNotifier.sendOrWithdrawNotices(commands, scope, now)
                && !tableScheduler.bindNextWaiting(commands, scope, now)
                && !tableScheduler.upgradeNextProvisional(commands, scope, now)) {
            return pacer.closeTurn(commands, now);
        }
        return true;
    }

    private void assignWaitingProxies() {
        for (Proxy proxy : proxies.waiting()) {
            roundRequested |= subsetter.assignToGroup(proxy);
        }
        proxiesUnassigned = false;
    }

    /** Arms the timer; requests a round while something required could not be sent. */
    private void armTimer(ProxyCommands commands) {
        timerSet = true;
        roundRequested |= requiredIsDeferred;
        commands.wakeAfter(TIMER_TICKS);
    }

    private void endNextEjection() {
        ScheduledTask task = schedule.takeNext();
        outlierDetector.endEjection(replicas.get(task.replicaId()), task.scope(), now);
    }

    /** One round: what is known, what should be, and what is sent of the difference. */
    private void runPlanningRound(ProxyCommands commands) {
        boolean regular = schedule.takeDueRegularRound(now);
        operatorDrains.applyOperatorDrains(replicas, now);
        roundRequested = subsetter.assignSubsets(replicas, proxies);
        decayEvidence();
        detectOutliers();
        updateDemand();
        FleetCapacity capacity = updateCapacities();
        updateAdmissionLevels(capacity);
        solver.carryOver(activeRoutes.tables());
        if (regular) {
            solver.solve(activeRoutes, settings.zoneCrossingPrice());
            // Only a regular round sets the next one: often changing lists must not put it off. A
            // round that throws before this schedules none.
            schedule.add(ScheduledTask.regularRound(now + ROUND_INTERVAL_TICKS));
        }
        publish(commands, regular);
    }

    /** Old evidence counts less, by the time passed and not by the number of reports. */
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
        requiredIsDeferred =
                publisher.publish(
                        commands,
                        subsetter.groups(),
                        activeRoutes.tables(),
                        round,
                        scope,
                        regular,
                        settings.commandPrice());
        for (ProxyGroup group : subsetter.groups()) {
            group.endBatch(commands);
            group.tables().forEach(RoutingTable::removeUnusedRoutes);
        }
        replicas.forgetGone(commands, now);
    }
}
