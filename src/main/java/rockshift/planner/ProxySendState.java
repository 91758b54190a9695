package rockshift.planner;

import java.util.ArrayDeque;

/**
 * Messages to one proxy: those that count against its quota, those that it has not acknowledged,
 * and the one that is being written. Modified by {@link ChannelPacer}, except for acknowledgements,
 * which come from the proxy.
 */
final class ProxySendState {
    /** Message in flight. The proxy acknowledges it by its serial number. */
    private record InFlight(int serial, long writtenAtTicks, long entries) {}

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final ArrayDeque<Long> quotaWindow = new ArrayDeque<>();
    private final ArrayDeque<InFlight> inFlight = new ArrayDeque<>();
    private long lastMessageAtTicks = NEVER;
    private long lastRequiredAtTicks = NEVER;
    private long acknowledgedWriteTicks;
    private double entriesThisTurn;

    void countMessage(long now) {
        quotaWindow.add(now);
        lastMessageAtTicks = now;
    }

    void expireMessages(double untilTicks) {
        quotaWindow.removeIf(sentAt -> sentAt <= untilTicks);
    }

    /** Returns the number of messages in the quota window. */
    int messageCount() {
        return quotaWindow.size();
    }

    /** Returns when the last message was written; long ago if there was none. */
    long lastMessageAtTicks() {
        return lastMessageAtTicks;
    }

    /** Returns when the last message with a change that safety requires was written. */
    long lastRequiredAtTicks() {
        return lastRequiredAtTicks;
    }

    /** Records that this turn's message contains a change that safety requires. */
    void recordRequired(long now) {
        lastRequiredAtTicks = now;
    }

    double entriesThisTurn() {
        return entriesThisTurn;
    }

    void addEntries(double entries) {
        entriesThisTurn += entries;
    }

    /** Ends this turn's message, which is then in flight. */
    void closeMessage(int serial, long now) {
        inFlight.add(new InFlight(serial, now, (long) entriesThisTurn));
        entriesThisTurn = 0;
    }

    /**
     * Records that the proxy has applied the messages up to a serial number. Ignores unknown
     * numbers.
     */
    void acknowledge(int serial) {
        if (inFlight.stream().anyMatch(message -> message.serial == serial)) {
            while (inFlight.getFirst().serial != serial) {
                inFlight.removeFirst();
            }
            acknowledgedWriteTicks = inFlight.removeFirst().writtenAtTicks;
        }
    }

    /** Returns the write time of the newest acknowledged message; 0 if there is none. */
    long acknowledgedWriteTicks() {
        return acknowledgedWriteTicks;
    }

    void expireInFlight(long beforeTicks) {
        inFlight.removeIf(message -> message.writtenAtTicks < beforeTicks);
    }

    /** Returns the entries of the messages in flight that were written at or after a time. */
    long entriesInFlightSince(long fromTicks) {
        return inFlight.stream()
                .filter(message -> message.writtenAtTicks >= fromTicks)
                .mapToLong(InFlight::entries)
                .sum();
    }
}
