package rockshift.planner;

import rockshift.model.Ticks;

/**
 * Demand of one proxy for one class: an estimated rate, and the arrivals reported since the last
 * estimate.
 */
final class ClassDemand {
    private double ratePerSecond;
    private double arrivals;
    private double coveredTicks;
    private long reportedUntilTicks;

    /**
     * Creates the demand at the proxy's baseline rate.
     *
     * @param reportedUntilTicks time until which its arrivals count as known
     */
    ClassDemand(double baselineRatePerSecond, long reportedUntilTicks) {
        ratePerSecond = baselineRatePerSecond;
        this.reportedUntilTicks = reportedUntilTicks;
    }

    double ratePerSecond() {
        return ratePerSecond;
    }

    /** Time that the reports since the last estimate cover. */
    double coveredTicks() {
        return coveredTicks;
    }

    /**
     * Adds a report of the arrivals in a span. Proxies do not report spans without arrivals, so a
     * report also covers such spans before it.
     */
    void addReport(int count, long spanTicks, long now) {
        double elapsedSpans = (now - reportedUntilTicks) / (double) spanTicks;
        long newlyCoveredTicks = spanTicks * Math.max(1, Math.round(elapsedSpans));
        arrivals += count;
        coveredTicks += newlyCoveredTicks;
        reportedUntilTicks += newlyCoveredTicks;
    }

    /**
     * If nothing was reported for two periods, counts the first of them as one without arrivals.
     */
    void recordMissedReport(long reportPeriodTicks, long now) {
        if (now - reportedUntilTicks > 2 * reportPeriodTicks) {
            coveredTicks += reportPeriodTicks;
            reportedUntilTicks += reportPeriodTicks;
        }
    }

    /**
     * Moves the rate towards the reported one by a fraction of the difference, and starts a new
     * span.
     */
    void updateRate(double stepFraction) {
        double reportedPerSecond = arrivals * Ticks.TICKS_PER_SECOND / Math.max(1, coveredTicks);
        ratePerSecond += stepFraction * (reportedPerSecond - ratePerSecond);
        arrivals = 0;
        coveredTicks = 0;
    }
}
