package rockshift.planner;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import rockshift.model.Ticks;

/**
 * Ejects replicas whose failure ratio stands out from the fleet's median, and lets them recover.
 *
 * <p>Inputs: attempts, failures and loads that proxies report, of the replica's own zone and of the
 * others apart. A replica ejected for all proxies has no capacity for some seconds and keeps the
 * floor weight; after that it recovers along a ramp. One ejected for other zones keeps its
 * capacity, has the floor weight in their tables, and returns without a ramp. An ejection that
 * follows soon after another takes twice as long.
 *
 * <p>Guards against one replica that fails fast and so draws more traffic. Shows as {@code ejected
 * replica=... scope=... failureRatio=... median=... load=...}, later {@code ejectionEnded}. Holds
 * because a trouble common to all raises the median, a busy replica is left to the capacity
 * estimate, and at most a quarter of the replicas in use, rounded up, is ejected for all proxies,
 * as the rest must do all of the work. It may keep a dead replica where many fail.
 */
final class OutlierDetector {
    /** An outlier's ratio exceeds this multiple of the median by {@link #EXCESS_FAILURE_RATIO}. */
    private static final double MEDIAN_MULTIPLE = 2;

    private static final double EXCESS_FAILURE_RATIO = 0.35;

    /** Fewer attempts say nothing about a replica. */
    private static final double MIN_ATTEMPTS_TO_JUDGE = 3;

    /**
     * Load above which failures are put down to too much work; a replica that hangs reports none.
     */
    private static final double OVERLOAD = 0.8;

    /**
     * Fraction of the replicas in use that may be ejected for all proxies at a time, rounded up.
     */
    private static final double MAX_EJECTED_FRACTION = 0.25;

    /** Memory of failures: short, as a failing replica does harm at once. */
    private static final double MEMORY_TICKS = 5 * Ticks.TICKS_PER_SECOND;

    private static final long FIRST_EJECTION_TICKS = 6 * Ticks.TICKS_PER_SECOND;

    /** An ejection's time doubles up to this. */
    private static final long LONGEST_EJECTION_TICKS = 15 * Ticks.TICKS_PER_SECOND;

    /** Random extension of an ejection, at most, so that not all end together. */
    private static final long JITTER_TICKS = Ticks.TICKS_PER_SECOND;

    /** Time after an ejection over which the capacity grows to what was estimated. */
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

    /** Lets observations count less. */
    void decay(Collection<Replica> replicas, long elapsedTicks) {
        double kept = Math.exp(-elapsedTicks / MEMORY_TICKS);
        for (Replica replica : replicas) {
            replica.ownZoneObservations().decay(kept);
            replica.otherZoneObservations().decay(kept);
        }
    }

    /**
     * Ejects the outliers among the replicas in use, those with most failures first.
     *
     * @param loadOf the load of a replica, for the log
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
            // A cut between zones looks like death from one side only: while its own zone does well
            // with a replica, it is ejected for the others alone.
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
                && observations.isLoadAtMost(OVERLOAD)
                && observations.failureRatio()
                        > MEDIAN_MULTIPLE * medianFailureRatio + EXCESS_FAILURE_RATIO;
    }

    /**
     * Begins an ejection unless it is active. The log line shows the failure ratio of all zones,
     * for either scope, and the load that {@code loadOf} estimates, which is not the one that
     * {@link #isOutlier} tested: that counts an attempt without a reported load as 0.
     */
    private void eject(
            Replica replica, EjectionScope scope, ToDoubleFunction<Replica> loadOf, long now) {
        Ejection ejection = ejectionOf(replica, scope);
        if (ejection.isActive()) {
            return;
        }
        boolean relapse = now - ejection.endedAtTicks() <= RECOVERY_TICKS + JITTER_TICKS;
        ejection.begin(
                relapse
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
     * Ends an ejection whose time is over; the replica starts over without observations. That also
     * cancels its ejection for the other scope. The call is not tied to one ejection: if that was
     * cancelled and another began since, the other ends early.
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

    /** The fraction of its capacity that a replica may use after an ejection for all proxies. */
    double recoveryFactor(Replica replica, long now) {
        long sinceTicks = now - replica.ownZoneObservations().ejection().endedAtTicks();
        return Math.min(
                1,
                INITIAL_RECOVERY_FRACTION
                        + (1 - INITIAL_RECOVERY_FRACTION) * sinceTicks / RECOVERY_TICKS);
    }

    /** The median failure ratio of the fleet as of the last round. */
    double medianFailureRatio() {
        return medianFailureRatio;
    }
}
