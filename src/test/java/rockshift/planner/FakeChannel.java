package rockshift.planner;

import java.util.TreeSet;
import rockshift.settings.PlannerSettings;

/** Channel to the proxies with its own count of entries, independent of the planner's estimate. */
final class FakeChannel {
    /** Entries that the request for an acknowledgement takes in a message. */
    private static final int SERIAL_ENTRIES = 1;

    private final double entriesPerSecond;
    private final double overheadEntries;
    private final TreeSet<Integer> proxiesReached = new TreeSet<>();
    private double queuedEntries;
    private double longestQueueEntries;

    FakeChannel(PlannerSettings settings) {
        entriesPerSecond = settings.channelEntriesPerSecond();
        overheadEntries = settings.messageOverheadEntries();
    }

    /** Starts a turn, whose commands go into new messages. */
    void beginTurn() {
        proxiesReached.clear();
    }

    /** Adds entries to the turn's message for a proxy. */
    void enqueue(int proxy, int entries) {
        boolean firstOfMessage = proxiesReached.add(proxy);
        queuedEntries += entries + (firstOfMessage ? overheadEntries + SERIAL_ENTRIES : 0);
        longestQueueEntries = Math.max(longestQueueEntries, queuedEntries);
    }

    /** Removes what the channel carries in one step. */
    void drainFor(int stepsPerSecond) {
        queuedEntries = Math.max(0, queuedEntries - entriesPerSecond / stepsPerSecond);
    }

    double queuedEntries() {
        return queuedEntries;
    }

    /** Maximum number of queued entries so far. */
    double longestQueueEntries() {
        return longestQueueEntries;
    }
}
