package rockshift.planner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The way to the proxies: what was written in this turn, what waits, and what nobody has answered
 * yet.
 */
final class ChannelPacer {
    private static final int LAST_SERIAL = 65_535;

    private final double head;

    /** Lines a tenth of a millisecond. */
    private final double pace;

    private final List<Proxy> written = new ArrayList<>();
    private double queued;
    private double unanswered;
    private long at;
    private int serial;

    ChannelPacer(double head, double pace, long now) {
        this.head = head;
        this.pace = pace;
        at = now;
    }

    /**
     * Counts lines of the message that a proxy gets in this turn; the first bring its head and the
     * mark.
     */
    void post(Proxy proxy, double lines, long now) {
        if (proxy.lines == 0) {
            proxy.messages.add(now);
            written.add(proxy);
        }
        double all = lines + (proxy.lines == 0 ? head + 1 : 0);
        proxy.lines += all;
        queued += all;
        unanswered += all;
    }

    /** Counts a message beside the first of a turn: it has a head of its own, and no mark. */
    private void countFurther(Proxy proxy, long now) {
        proxy.messages.add(now);
        proxy.lines += head;
        queued += head;
        unanswered += head;
    }

    /** Closes the turn's messages under one number; false where there is none. */
    boolean mark(ProxyCommands orders, long now) {
        if (written.isEmpty()) {
            return false;
        }
        serial = serial % LAST_SERIAL + 1;
        for (Proxy proxy : written) {
            for (int further = orders.messageCount(proxy.number) - 1; further > 0; further--) {
                countFurther(proxy, now);
            }
            proxy.marks.add(new long[] {serial, now, (long) proxy.lines});
            proxy.lines = 0;
        }
        written.clear();
        orders.requestAcknowledgement(serial);
        return true;
    }

    static void answered(Proxy proxy, int serial) {
        if (proxy.marks.stream().anyMatch(mark -> mark[0] == serial)) {
            while (proxy.marks.getFirst()[0] != serial) {
                proxy.marks.removeFirst();
            }
            proxy.answered = proxy.marks.removeFirst()[1];
        }
    }

    /**
     * Lines that wait: by the usual pace, or as many as nobody has answered but for those on the
     * way. Messages leave in turn, so none written before one that any proxy answered still waits,
     * however silent its own is.
     */
    double queue(long now, double way, long remembered, Collection<Proxy> proxies) {
        if (now != at) {
            queued = Math.max(0, queued - (now - at) * pace);
            at = now;
            unanswered = 0;
            long left = proxies.stream().mapToLong(proxy -> proxy.answered).max().orElse(0);
            for (Proxy proxy : proxies) {
                proxy.marks.removeIf(mark -> mark[1] < now - remembered);
                for (long[] mark : proxy.marks) {
                    unanswered += mark[1] < left ? 0 : mark[2];
                }
            }
        }
        return Math.max(queued, unanswered - way * pace);
    }
}
