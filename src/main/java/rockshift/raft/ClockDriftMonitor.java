package rockshift.raft;

/**
 * Compares how fast another member's clock runs with our own, by the times that its answers bring.
 * Each answer tells that its clock stood there at some time between our sending and our hearing;
 * two such, far apart, bound its rate.
 */
final class ClockDriftMonitor {
    /**
     * Tenths of a ms between two compared answers: long, so that the way there and back counts for
     * little.
     */
    private static final long SPAN = 100_000;

    private long sent;
    private long heard;
    private long there;
    private boolean begun;
    private double driftRatio;

    void record(long sentAt, long now, long clockThere) {
        if (!begun || clockThere < there) {
            begin(sentAt, now, clockThere);
        } else if (sentAt >= heard + SPAN) {
            // Whatever the two answers' ways took, the true span on our clock lies between these
            // two.
            double shortest = sentAt - heard;
            double longest = now - sent;
            double passed = clockThere - there;
            driftRatio =
                    passed > longest
                            ? passed / longest - 1
                            : passed < shortest ? shortest / Math.max(1, passed) - 1 : 0;
            begin(sentAt, now, clockThere);
        }
    }

    private void begin(long sentAt, long now, long clockThere) {
        sent = sentAt;
        heard = now;
        there = clockThere;
        begun = true;
    }

    /** By what share its clock is proved to run apart from ours. */
    double driftRatio() {
        return driftRatio;
    }
}
