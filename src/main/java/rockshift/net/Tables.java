package rockshift.net;

import java.io.ByteArrayOutputStream;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.Listed;
import rockshift.Orders;

/**
 * What each table, level, binding and withdrawal stands at, and so what each joined proxy is sent: one
 * message a turn. It is used by the thread of {@link EventLoop} alone. It must never decide what stands in a
 * table, hold a message back, or add a line that the module is not told of.
 */
final class Tables implements Orders {
    private static final Logger LOG = LoggerFactory.getLogger(Tables.class);
    private static final Pattern NUMBERED = Pattern.compile("replica (\\d+)");
    /**
     * Suspects that are kept, those gone among them: under a megabyte. With more, all replicas are suspect.
     */
    private static final int MOST_SUSPECT = 10_000;

    /** Where a proxy's messages go. */
    interface Stream {
        void send(byte[] message);
    }

    private record Level(int classes, double level, int again) {}

    private static final class Table {
        final TreeMap<Long, Double> lines = new TreeMap<>();
        final LinkedHashMap<Integer, Level> levels = new LinkedHashMap<>();
        /** What this turn changed. */
        final TreeMap<Long, Double> newLines = new TreeMap<>();
        final LinkedHashMap<Integer, Level> newLevels = new LinkedHashMap<>();
    }

    /** A joined proxy. */
    private static final class Seat {
        final Stream stream;
        /** Tables, with the classes that they are for; those bound in this turn. */
        final TreeMap<Integer, Integer> bound = new TreeMap<>();
        final Set<Integer> fresh = new TreeSet<>();
        /** What the proxy was told on this stream: whether a replica is shut out. */
        final Map<Long, Boolean> told = new HashMap<>();
        /** Replicas that this turn shuts out or lets back. */
        final Set<Long> out = new TreeSet<>();
        final Set<Long> back = new TreeSet<>();

        Seat(Stream stream) {
            this.stream = stream;
        }

        /** Whether the message grows by telling the proxy if it may send to a replica. */
        boolean tell(long replica, boolean shut) {
            Boolean before = told.put(replica, shut);
            if (before != null && before == shut) {
                return false;
            }
            (shut ? back : out).remove(replica);
            return (shut ? out : back).add(replica);
        }
    }

    /** Of replicas that the module knows: what they are called outside. */
    private final Map<Long, String> names = new HashMap<>();
    private final List<String> classNames;
    private final LongConsumer waker;
    private final Map<Integer, Table> tables = new HashMap<>();
    private final TreeMap<Integer, Seat> seats = new TreeMap<>();
    private final Set<Long> withdrawn = new TreeSet<>();
    /** Replicas that some governor may have shut out of a proxy before: only these need letting back. */
    private final Set<Long> suspect = new TreeSet<>();
    private boolean allSuspect;
    /** By proxy: what it was told to keep off. It keeps that across its streams. */
    private final Map<Integer, Set<Long>> shut = new HashMap<>();
    private int serial;

    Tables(List<String> classNames, LongConsumer waker) {
        this.classNames = classNames;
        this.waker = waker;
    }

    /**
     * What listed replicas are called, before the module may name them. Governors shut out who is listed as
     * leaving. A replica that was never seen so, and has not started anew since before it was first seen, is
     * held against by no proxy: a third of what a join comes to would tell of such ones.
     */
    void listed(List<Listed> entries, boolean changes, Map<Long, String> called) {
        for (Listed entry : entries) {
            boolean before = !changes || names.containsKey(entry.replica());
            if (entry.health() != Listed.Health.READY || entry.started() > 0 && before) {
                suspect.add(entry.replica());
            }
        }
        if (suspect.size() > MOST_SUSPECT) {
            suspect.clear();
            allSuspect = true;
        }
        names.putAll(called);
    }

    /** Staff keep replicas out that are listed as ready: any may be shut out. */
    void agreed() {
        allSuspect = true;
    }

    /** Whether a proxy that gets a line must be told if it may send there, and the message grows by that. */
    private boolean tell(Seat seat, long replica) {
        return (allSuspect || suspect.contains(replica)) && seat.tell(replica, withdrawn.contains(replica));
    }

    /** A proxy is there under a new stream, which holds whatever the proxy held. */
    void joined(int proxy, Stream stream) {
        seats.put(proxy, new Seat(stream));
    }

    void left(int proxy) {
        seats.remove(proxy);
    }

    /** Whether this is the stream that a proxy joined with last. */
    boolean current(int proxy, Stream stream) {
        Seat seat = seats.get(proxy);
        return seat != null && seat.stream == stream;
    }

    /** A table that nobody named yet is empty. */
    private Table table(int number) {
        return tables.computeIfAbsent(number, absent -> new Table());
    }

    @Override
    public int line(int table, long replica, double weight) {
        Table changed = table(table);
        boolean enters = weight > 0 && !changed.lines.containsKey(replica);
        changed.newLines.put(replica, weight);
        if (weight > 0) {
            changed.lines.put(replica, weight);
        } else {
            changed.lines.remove(replica);
        }
        boolean told = false;
        for (Seat seat : seats.values()) {
            if (enters && seat.bound.containsKey(table)) {
                told |= tell(seat, replica);
            }
        }
        return told ? 2 : 1;
    }

    /**
     * A proxy keeps what any governor before shut out, and nobody here may know of it: it is told of each
     * replica in its table that may ever have been shut out whether it may send there.
     */
    @Override
    public int bind(int table, int proxy, int classes) {
        Seat seat = seats.get(proxy);
        if (seat == null) {
            return 0;
        }
        seat.bound.put(table, classes);
        seat.fresh.add(table);
        int told = 0;
        for (long replica : table(table).lines.keySet()) {
            told += tell(seat, replica) ? 1 : 0;
        }
        return told;
    }

    @Override
    public int withdraw(long replica, boolean out, int proxy) {
        if (out) {
            withdrawn.add(replica);
        } else {
            withdrawn.remove(replica);
        }
        Seat seat = seats.get(proxy);
        boolean concerned = seat != null && (out || shut.getOrDefault(proxy, Set.of()).contains(replica));
        return concerned && seat.tell(replica, out) ? 1 : 0;
    }

    @Override
    public void admit(int table, int classes, double level, int again) {
        Table changed = table(table);
        Level to = new Level(classes, level, again);
        changed.levels.put(classes, to);
        changed.newLevels.put(classes, to);
    }

    @Override
    public void mark(int serial) {
        this.serial = serial;
    }

    @Override
    public void wake(long delay) {
        waker.accept(delay);
    }

    /** A proxy that still keeps off it is told otherwise as soon as a table names it again. */
    @Override
    public void forget(long replica) {
        names.remove(replica);
        withdrawn.remove(replica);
        shut.values().forEach(kept -> kept.remove(replica));
        seats.values().forEach(seat -> seat.told.remove(replica));
    }

    /** The module knows replicas by number; the staff know them by name. */
    @Override
    public void log(String line) {
        LOG.info(NUMBERED.matcher(line).replaceAll(found -> "replica " + Matcher
                .quoteReplacement(names.get(Long.parseLong(found.group(1))))));
    }

    /** Sends each proxy what this turn ordered for it, as one message. */
    void flush() {
        seats.forEach((proxy, seat) -> {
            List<List<String>> parts = new ArrayList<>();
            seat.bound.forEach((number, classes) -> {
                Table table = tables.get(number);
                boolean whole = seat.fresh.contains(number);
                tell(parts, classes, whole, whole ? table.lines : table.newLines,
                        whole ? table.levels : table.newLevels);
            });
            if (parts.isEmpty() && (!seat.out.isEmpty() || !seat.back.isEmpty())) {
                parts.add(new ArrayList<>(List.of(RespCodec.UPDATE)));
            }
            if (!parts.isEmpty()) {
                close(parts, proxy, seat);
            }
            seat.fresh.clear();
            seat.out.clear();
            seat.back.clear();
        });
        for (Table table : tables.values()) {
            table.newLines.clear();
            table.newLevels.clear();
        }
        serial = 0;
    }

    /** Adds the parts that tell one table's lines and levels, if there is anything to tell. */
    private void tell(List<List<String>> parts, int bits, boolean whole, Map<Long, Double> lines,
            Map<Integer, Level> levels) {
        List<String> first = null;
        if (whole || !lines.isEmpty()) {
            first = part(parts, bits);
            if (whole) {
                first.addAll(List.of(RespCodec.WHOLE, "1"));
            }
            StringJoiner list = new StringJoiner(",");
            lines.forEach((replica, weight) -> list.add(names.get(replica) + ":" + plain(weight)));
            first.addAll(List.of(RespCodec.LINES, list.toString()));
        }
        for (Level level : levels.values()) {
            int meant = level.classes == 0 ? bits : bits == 0 ? level.classes : bits & level.classes;
            List<String> part = meant == bits && first != null ? first : part(parts, meant);
            part.addAll(List.of(RespCodec.LEVEL, plain(level.level), RespCodec.AGAIN,
                    Integer.toString(level.again)));
            first = part == first ? null : first;
        }
    }

    private List<String> part(List<List<String>> parts, int bits) {
        List<String> part = new ArrayList<>(List.of(RespCodec.UPDATE));
        if (bits != 0) {
            StringJoiner meant = new StringJoiner("+");
            for (int k = 0; k < classNames.size(); k++) {
                if ((bits & 1 << k) != 0) {
                    meant.add(classNames.get(k));
                }
            }
            part.addAll(List.of(RespCodec.CLASSES, meant.toString()));
        }
        parts.add(part);
        return part;
    }

    /** Ends a proxy's message with what concerns all its tables, and sends it. */
    private void close(List<List<String>> parts, int proxy, Seat seat) {
        List<String> last = parts.get(parts.size() - 1);
        Set<Long> kept = shut.computeIfAbsent(proxy, number -> new TreeSet<>());
        if (!seat.out.isEmpty()) {
            last.addAll(List.of(RespCodec.OUT, named(seat.out)));
            kept.addAll(seat.out);
        }
        if (!seat.back.isEmpty()) {
            last.addAll(List.of(RespCodec.BACK, named(seat.back)));
            kept.removeAll(seat.back);
        }
        if (serial > 0) {
            last.addAll(List.of(RespCodec.MARK, Integer.toString(serial)));
        }
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        for (List<String> part : parts) {
            if (part != last) {
                part.addAll(List.of(RespCodec.MORE, "1"));
            }
            message.writeBytes(RespCodec.message(part));
        }
        seat.stream.send(message.toByteArray());
    }

    private String named(Set<Long> replicas) {
        StringJoiner list = new StringJoiner(",");
        replicas.forEach(replica -> list.add(names.get(replica)));
        return list.toString();
    }

    private static String plain(double number) {
        return BigDecimal.valueOf(number).toPlainString();
    }
}
