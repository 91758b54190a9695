package rockshift.planner;

import java.util.ArrayDeque;
import java.util.Arrays;

/** A joined proxy: what comes to it, and what it was sent. */
final class Proxy {
    final int number;
    final int zone;
    final double usualRate;

    /** By class: transactions a second, and what was reported since that was last reckoned. */
    final double[] rate;

    final double[] came;
    final double[] span;

    /** By class, until when it is known what came, about: reports lag. */
    final long[] toldAt;

    long joinedAt;

    /** When it was last told to keep off all who left. */
    long warnedAt = Long.MIN_VALUE / 2;

    /** Times of the messages that count against the limit. */
    final ArrayDeque<Long> messages = new ArrayDeque<>();

    /** Marks without an answer: serial, time, lines. */
    final ArrayDeque<long[]> marks = new ArrayDeque<>();

    /** When the newest message that it has answered was written. */
    long answered;

    /** Lines of the message that it gets in this turn. */
    double lines;

    ProxyGroup place;

    /** Whether it has its tables, and whether one of them does for all classes as yet. */
    boolean bound;

    boolean brief;

    Proxy(int number, int zone, double[] rate) {
        this.number = number;
        this.zone = zone;
        this.rate = rate;
        usualRate = Arrays.stream(rate).sum();
        came = new double[rate.length];
        span = new double[rate.length];
        toldAt = new long[rate.length];
    }

    /** Moves a class's rate by a part of the way to what was reported since the last reckoning. */
    void reckon(int type, double step) {
        rate[type] += step * (came[type] * 10_000 / Math.max(1, span[type]) - rate[type]);
        came[type] = span[type] = 0;
    }
}
