package rockshift.planner;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import rockshift.model.Ticks;

/**
 * Ejects replicas whose failure ratio is far above the fleet's median, and lets them recover.
 *
 * <p>Inputs: attempts, failures and loads that proxies report, separately for the replica's own
 * zone and for the other zones. A replica that is ejected for all proxies has no capacity for some
 * seconds and keeps the floor weight; then it recovers along a ramp. A replica that is ejected for
 * other zones keeps its capacity, has the floor weight in their tables, and returns without a ramp.
 * An ejection soon after another lasts twice as long.
 *
 * <p>Guards against one replica that fails fast and so attracts more traffic. The log shows {@code
 * ejected replica=... scope=... failureRatio=... median=... load=...}, later {@code ejectionEnded}.
 * The guard holds because a failure common to all replicas raises the median, a busy replica is
 * left to the capacity estimate, and at most a quarter of the replicas in use, rounded up, is
 * ejected for all proxies, as the rest must serve all requests. If many replicas fail, a dead one
 * may stay in use.
 */
final class OutlierDetector {
    /**
     * The failure ratio of an outlier exceeds {@code MEDIAN_MULTIPLE * median +
     * EXCESS_FAILURE_RATIO}.
     */
    private static final double MEDIAN_MULTIPLE = 2;

    private static final double EXCESS_FAILURE_RATIO = 0.35;

    /** Minimum number of attempts; fewer say nothing about a replica. */
    private static final double MIN_ATTEMPTS_TO_JUDGE = 3;

    /**
     * Load above which failures are attributed to overload; a replica that hangs reports no load.
     */
    private static final double MAX_LOAD_TO_JUDGE = 0.8;

    /**
     * Maximum fraction of the replicas in use that is ejected for all proxies at a time, rounded
     * up.
     */
    private static final double MAX_EJECTED_FRACTION = 0.25;

    /** Time constant of the decay of failures: short, as a failing replica does harm at once. */
    private static final double TIME_CONSTANT_TICKS = 5 * Ticks.TICKS_PER_SECOND;

    private static final long FIRST_EJECTION_TICKS = 6 * Ticks.TICKS_PER_SECOND;

    /** Maximum up to which the duration of repeated ejections doubles. */
    private static final long LONGEST_EJECTION_TICKS = 15 * Ticks.TICKS_PER_SECOND;

    /** Maximum random extension of an ejection, so that not all end together. */
    private static final long JITTER_TICKS = Ticks.TICKS_PER_SECOND;

    /** Time after an ejection during which the capacity grows to the estimate. */
    private static final long RECOVERY_TICKS = 5 * Ticks.TICKS_PER_SECOND;

    private static final double INITIAL_RECOVERY_FRACTION = 0.15;

    private final RandomGenerator random;
    private final TaskSchedule schedule;
    private final DecisionLog log;
    private double medianFailureRatio;

    OutlierDetector(RandomGenerator random, TaskSchedule schedule, DecisionLog log) {
        this.random = random;
        this.schedule = schedule;
        this.log = log;
    }

    /** Decays the observations by the time passed. */
    void decay(Collection<Replica> replicas, long elapsedTicks) {
        double factor = Math.exp(-elapsedTicks / TIME_CONSTANT_TICKS);
        for (Replica replica : replicas) {
            replica.ownZoneObservations().decay(factor);
            replica.otherZoneObservations().decay(factor);
        }
    }

    /**
     * Ejects the outliers among the replicas in use, those with the most failures first.
     *
     * @param loadOf load of a replica, for the log
     */
    void detectOutliers(
            Collection<Replica> replicas,
            List<Replica> inUse,
            ToDoubleFunction<Replica> loadOf,
            long now) {
        medianFailureRatio = medianFailureRatio(replicas);
        double remainingEjections =
                MAX_EJECTED_FRACTION * inUse.size()
                        - inUse.stream().filter(Replica::isEjected).count();
        Comparator<Replica> mostFailuresFirst =
                Comparator.comparingDouble(replica -> -replica.failures());
        for (Replica replica : inUse.stream().sorted(mostFailuresFirst).toList()) {
            if (!replica.acceptsNewWork()) {
                continue;
            }
            // In a network partition between zones, a replica fails for one side only. If its own
            // zone has no trouble with it, it is ejected for the other zones only.
            ReplicaObservations ownZone = replica.ownZoneObservations();
            if (ownZone.attempts() >= MIN_ATTEMPTS_TO_JUDGE && !isOutlier(ownZone)) {
                if (isOutlier(replica.otherZoneObservations())) {
                    eject(replica, EjectionScope.OTHER_ZONES, loadOf, now);
                }
            } else if (remainingEjections > 0 && isOutlier(replica.allObservations())) {
                remainingEjections -= replica.isEjected() ? 0 : 1;
                eject(replica, EjectionScope.ALL_PROXIES, loadOf, now);
            }
        }
    }

    private static double medianFailureRatio(Collection<Replica> replicas) {
        double[] ratios =
                replicas.stream()
                        .filter(Replica::acceptsNewWork)
                        .map(Replica::allObservations)
                        .filter(observations -> observations.attempts() >= MIN_ATTEMPTS_TO_JUDGE)
                        .mapToDouble(ReplicaObservations::failureRatio)
                        .sorted()
                        .toArray();
        return ratios.length == 0 ? 0 : ratios[(ratios.length - 1) / 2];
    }

    private boolean isOutlier(ReplicaObservations observations) {
        return observations.attempts() >= MIN_ATTEMPTS_TO_JUDGE
                && observations.isLoadAtMost(MAX_LOAD_TO_JUDGE)
                && observations.failureRatio()
                        > MEDIAN_MULTIPLE * medianFailureRatio + EXCESS_FAILURE_RATIO;
    }

    /**
     * Begins an ejection unless one is active. The log line shows the failure ratio over all zones,
     * for either scope. Its load is the estimate of {@code loadOf}, not the one that {@link
     * #isOutlier} tested: that counts an attempt without a reported load as 0.
     */
    private void eject(
            Replica replica, EjectionScope scope, ToDoubleFunction<Replica> loadOf, long now) {
        Ejection ejection = ejectionOf(replica, scope);
        if (ejection.isActive()) {
            return;
        }
        boolean isRepeated = now - ejection.endedAtTicks() <= RECOVERY_TICKS + JITTER_TICKS;
        ejection.begin(
                isRepeated
                        ? Math.min(LONGEST_EJECTION_TICKS, 2 * ejection.durationTicks())
                        : FIRST_EJECTION_TICKS);
        long endsAt = now + ejection.durationTicks() + random.nextLong(JITTER_TICKS);
        schedule.add(ScheduledTask.endOfEjection(endsAt, replica.id(), scope));
        log.add(
                String.format(
                        Locale.ROOT,
                        "ejected replica=%d scope=%s failureRatio=%.2f median=%.2f load=%.2f",
                        replica.id(),
                        scope.logName(),
                        replica.allObservations().failureRatio(),
                        medianFailureRatio,
                        loadOf.applyAsDouble(replica)));
    }

    /**
     * Ends an ejection whose time is over and discards the replica's observations, which also
     * cancels its ejection for the other scope. The call is not tied to one ejection: if that one
     * was cancelled and another began since, the other ends early.
     */
    void endEjection(Replica replica, EjectionScope scope, long now) {
        Ejection ejection = replica == null ? null : ejectionOf(replica, scope);
        if (ejection != null && ejection.isActive()) {
            ejection.end(now);
            replica.resetObservations();
            log.add("ejectionEnded replica=" + replica.id() + " scope=" + scope.logName());
        }
    }

    private static Ejection ejectionOf(Replica replica, EjectionScope scope) {
        return scope == EjectionScope.ALL_PROXIES
                ? replica.ownZoneObservations().ejection()
                : replica.otherZoneObservations().ejection();
    }

    /**
     * Returns the fraction of its capacity that a replica may use after an ejection for all
     * proxies.
     */
    double recoveryFactor(Replica replica, long now) {
        long sinceTicks = now - replica.ownZoneObservations().ejection().endedAtTicks();
        return Math.min(
                1,
                INITIAL_RECOVERY_FRACTION
                        + (1 - INITIAL_RECOVERY_FRACTION) * sinceTicks / RECOVERY_TICKS);
    }

    /** Median failure ratio of the fleet as of the last round. */
    double medianFailureRatio() {
        return medianFailureRatio;
    }
}
