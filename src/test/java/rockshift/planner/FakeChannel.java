package rockshift.planner;

import java.util.TreeSet;
import rockshift.settings.PlannerSettings;

/** The channel to the proxies by a count of its own, apart from the planner's estimate. */
final class FakeChannel {
    /** The entry of a message that asks for its acknowledgement. */
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

    /** The commands that follow are of another turn, and go into other messages. */
    void beginTurn() {
        proxiesReached.clear();
    }

    /** Adds entries to the turn's message for a proxy. */
    void enqueue(int proxy, int entries) {
        boolean firstOfMessage = proxiesReached.add(proxy);
        queuedEntries += entries + (firstOfMessage ? overheadEntries + SERIAL_ENTRIES : 0);
        longestQueueEntries = Math.max(longestQueueEntries, queuedEntries);
    }

    /** Sends what the channel carries in a part of a second. */
    void drainFor(int partsOfASecond) {
        queuedEntries = Math.max(0, queuedEntries - entriesPerSecond / partsOfASecond);
    }

    /** Entries that wait. */
    double queuedEntries() {
        return queuedEntries;
    }

    /** The most entries that ever waited. */
    double longestQueueEntries() {
        return longestQueueEntries;
    }
}
