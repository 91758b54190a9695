package rockshift.planner;

import java.util.ArrayDeque;

/**
 * Messages to one proxy: those that count against its quota, those that it has not acknowledged,
 * and the one that is being written. Changed by {@link ChannelPacer}; an acknowledgement comes from
 * the proxy.
 */
final class ProxySendState {
    /** A message in flight, by the serial number that the proxy acknowledges it with. */
    private record InFlight(int serial, long writtenAtTicks, long entries) {}

    private final ArrayDeque<Long> quotaWindow = new ArrayDeque<>();
    private final ArrayDeque<InFlight> inFlight = new ArrayDeque<>();
    private long acknowledgedWriteTicks;
    private double entriesThisTurn;

    // ---- quota ---------------------------------------------------------------------------------

    void countMessage(long now) {
        quotaWindow.add(now);
    }

    void expireMessages(double untilTicks) {
        quotaWindow.removeIf(sentAt -> sentAt <= untilTicks);
    }

    /** Messages in the quota's window. */
    int messageCount() {
        return quotaWindow.size();
    }

    /** When the last message in the window was written; there must be one. */
    long lastMessageAtTicks() {
        return quotaWindow.getLast();
    }

    // ---- this turn's message -------------------------------------------------------------------

    double entriesThisTurn() {
        return entriesThisTurn;
    }

    void addEntries(double entries) {
        entriesThisTurn += entries;
    }

    /** Ends the turn's message: it is in flight. */
    void closeMessage(int serial, long now) {
        inFlight.add(new InFlight(serial, now, (long) entriesThisTurn));
        entriesThisTurn = 0;
    }

    // ---- acknowledgements ----------------------------------------------------------------------

    /** The proxy has applied the messages up to a serial number; unknown numbers mean nothing. */
    void acknowledge(int serial) {
        if (inFlight.stream().anyMatch(message -> message.serial == serial)) {
            while (inFlight.getFirst().serial != serial) {
                inFlight.removeFirst();
            }
            acknowledgedWriteTicks = inFlight.removeFirst().writtenAtTicks;
        }
    }

    /** When the newest message that it acknowledged was written. */
    long acknowledgedWriteTicks() {
        return acknowledgedWriteTicks;
    }

    void expireInFlight(long beforeTicks) {
        inFlight.removeIf(message -> message.writtenAtTicks < beforeTicks);
    }

    /** Entries of the messages in flight that were written at a time or after it. */
    long entriesInFlightSince(long fromTicks) {
        return inFlight.stream()
                .filter(message -> message.writtenAtTicks >= fromTicks)
                .mapToLong(InFlight::entries)
                .sum();
    }
}
