package rockshift.raft;

/**
 * Compares the rate of another member's clock with our own, by the times that its answers carry.
 * Each answer shows that its clock had that reading at some instant between our sending and our
 * receiving; two such answers, far apart, bound its rate. Only a drift that is certain counts, so a
 * slow link never looks like a fast clock.
 */
final class ClockDriftMonitor {
    /** Between two compared answers: long, so that the round trip counts for little. */
    private static final long MIN_SPAN_TICKS = 100_000;

    private boolean hasReference;

    // The answer that the next ones are compared with.
    private long referenceSentAtTicks;
    private long referenceReceivedAtTicks;
    private long referenceClockTicks;

    private double driftRatio;

    /**
     * Takes an answer.
     *
     * @param sentAtTicks our clock when we sent what it answers
     * @param receivedAtTicks our clock when it arrived
     * @param remoteClockTicks the other member's clock in between
     */
    void record(long sentAtTicks, long receivedAtTicks, long remoteClockTicks) {
        if (!hasReference || remoteClockTicks < referenceClockTicks) {
            setReference(sentAtTicks, receivedAtTicks, remoteClockTicks);
        } else if (sentAtTicks >= referenceReceivedAtTicks + MIN_SPAN_TICKS) {
            // However long the two round trips took, the true span on our clock lies between these.
            double shortestTicks = sentAtTicks - referenceReceivedAtTicks;
            double longestTicks = receivedAtTicks - referenceSentAtTicks;
            double remoteTicks = remoteClockTicks - referenceClockTicks;
            driftRatio = provenDrift(shortestTicks, longestTicks, remoteTicks);
            setReference(sentAtTicks, receivedAtTicks, remoteClockTicks);
        }
    }

    private static double provenDrift(
            double shortestTicks, double longestTicks, double remoteTicks) {
        if (remoteTicks > longestTicks) {
            return remoteTicks / longestTicks - 1;
        }
        return remoteTicks < shortestTicks ? shortestTicks / Math.max(1, remoteTicks) - 1 : 0;
    }

    private void setReference(long sentAtTicks, long receivedAtTicks, long remoteClockTicks) {
        referenceSentAtTicks = sentAtTicks;
        referenceReceivedAtTicks = receivedAtTicks;
        referenceClockTicks = remoteClockTicks;
        hasReference = true;
    }

    /** The share by which its clock is proven to run apart from ours. */
    double driftRatio() {
        return driftRatio;
    }
}
