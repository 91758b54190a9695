package rockshift.planner;

import rockshift.model.Ticks;

/** The demand of one proxy for one class: an estimated rate, and what was reported since. */
final class ClassDemand {
    private double ratePerSecond;
    private double arrivals;
    private double coveredTicks;
    private long reportedUntilTicks;

    /**
     * Starts with the proxy's baseline rate.
     *
     * @param reportedUntilTicks until when its arrivals count as known
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
     * Takes in a report of the arrivals in a span. Proxies report nothing of a span without
     * arrivals, so the next report covers the quiet spans before it as well.
     */
    void addReport(int count, long spanTicks, long now) {
        double elapsedSpans = (now - reportedUntilTicks) / (double) spanTicks;
        long newlyCoveredTicks = spanTicks * Math.max(1, Math.round(elapsedSpans));
        arrivals += count;
        coveredTicks += newlyCoveredTicks;
        reportedUntilTicks += newlyCoveredTicks;
    }

    /** Where nothing was reported for two periods, the first of them had no arrivals. */
    void expireSilence(long reportPeriodTicks, long now) {
        if (now - reportedUntilTicks > 2 * reportPeriodTicks) {
            coveredTicks += reportPeriodTicks;
            reportedUntilTicks += reportPeriodTicks;
        }
    }

    /**
     * Moves the rate towards the reported one by a fraction of the difference; starts a new span.
     */
    void updateRate(double stepFraction) {
        double reportedPerSecond = arrivals * Ticks.TICKS_PER_SECOND / Math.max(1, coveredTicks);
        ratePerSecond += stepFraction * (reportedPerSecond - ratePerSecond);
        arrivals = 0;
        coveredTicks = 0;
    }
}
