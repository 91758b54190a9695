package rockshift.raft;

/**
 * Compares the rate of another member's clock with the local clock, from the timestamps in its
 * responses. A response proves that the remote clock had the given reading at some time between
 * sending the request and receiving the response; two responses far apart bound its rate. Only
 * proven drift counts, so a slow link is never taken for a fast clock.
 */
final class ClockDriftMonitor {
    /**
     * Minimum time between two compared responses: long, so that the round-trip times have little
     * weight.
     */
    private static final long MIN_SPAN_TICKS = 100_000;

    private boolean hasReference;

    // The response that later ones are compared with.
    private long referenceSentAtTicks;
    private long referenceReceivedAtTicks;
    private long referenceClockTicks;

    private double driftRatio;

    /**
     * Records a response.
     *
     * @param sentAtTicks the local clock when the request was sent
     * @param receivedAtTicks the local clock when the response arrived
     * @param remoteClockTicks the remote clock in between
     */
    void record(long sentAtTicks, long receivedAtTicks, long remoteClockTicks) {
        if (!hasReference || remoteClockTicks < referenceClockTicks) {
            setReference(sentAtTicks, receivedAtTicks, remoteClockTicks);
        } else if (sentAtTicks >= referenceReceivedAtTicks + MIN_SPAN_TICKS) {
            // The local time between the two remote readings lies between these, whatever the
            // round-trip times.
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

    /** Returns the proven drift between the two clocks, as a fraction. */
    double driftRatio() {
        return driftRatio;
    }
}
