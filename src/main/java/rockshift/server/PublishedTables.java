package rockshift.server;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
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
import rockshift.model.ClassSet;
import rockshift.model.Endpoint;
import rockshift.planner.ProxyCommands;
import rockshift.settings.ClassNames;

/**
 * What each table, level, binding and withdrawal stands at, and so what each joined proxy is sent:
 * one message a turn, or as few as the protocol allows. It is used by the thread of {@link
 * EventLoop} alone. It must never decide what stands in a table, hold a message back, or add a line
 * that the module is not told of.
 */
final class PublishedTables implements ProxyCommands {
    private static final Logger LOG = LoggerFactory.getLogger(PublishedTables.class);
    private static final Pattern NUMBERED = Pattern.compile("replica=(\\d+)");

    /**
     * Suspects that are kept, those gone among them: under a megabyte. With more, all replicas are
     * suspect.
     */
    private static final int MOST_SUSPECT = 10_000;

    /** Where a proxy's messages go. */
    interface Stream {
        void send(byte[] message);
    }

    private record Level(ClassSet classes, double level, int again) {}

    private static final class Table {
        final TreeMap<Long, Double> lines = new TreeMap<>();
        final LinkedHashMap<ClassSet, Level> levels = new LinkedHashMap<>();

        /** What this turn changed. */
        final TreeMap<Long, Double> newLines = new TreeMap<>();

        final LinkedHashMap<ClassSet, Level> newLevels = new LinkedHashMap<>();

        /**
         * What proxies that are bound for some classes are told in this turn, as far as it was
         * asked for already.
         */
        final Map<ClassSet, List<UpdatePart>> wholeParts = new HashMap<>();

        final Map<ClassSet, List<UpdatePart>> newParts = new HashMap<>();

        /** Forgets what was encoded, as the table changes or the turn ends. */
        void forgetParts() {
            wholeParts.clear();
            newParts.clear();
        }

        /** Ends a turn. */
        void settle() {
            newLines.clear();
            newLevels.clear();
            forgetParts();
        }
    }

    /** A joined proxy. */
    private static final class Seat {
        final Stream stream;

        /** Tables, with the classes that they are for; those bound in this turn. */
        final TreeMap<Integer, ClassSet> bound = new TreeMap<>();

        final Set<Integer> fresh = new TreeSet<>();

        /** What the proxy was told on this stream: whether a replica is shut out. */
        final Map<Long, Boolean> told = new HashMap<>();

        /** Replicas that this turn shuts out or lets back. */
        final Set<Long> out = new TreeSet<>();

        final Set<Long> back = new TreeSet<>();

        Seat(Stream stream) {
            this.stream = stream;
        }

        /** Whether this turn laid a table under it, or shuts a replica out or lets one back. */
        boolean concerned() {
            return !fresh.isEmpty() || !out.isEmpty() || !back.isEmpty();
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

    private final ClassNames classNames;
    private final LongConsumer waker;
    private final Map<Integer, Table> tables = new HashMap<>();

    /** The tables that this turn changed, and those that a proxy was told whole. */
    private final Set<Table> changed = new HashSet<>();

    private final Set<Table> told = new HashSet<>();
    private final TreeMap<Integer, Seat> seats = new TreeMap<>();
    private final Set<Long> withdrawn = new TreeSet<>();

    /**
     * Replicas that some governor may have shut out of a proxy before: only these need letting
     * back.
     */
    private final Set<Long> suspect = new TreeSet<>();

    private boolean allSuspect;

    /** By proxy: what it was told to keep off. It keeps that across its streams. */
    private final Map<Integer, Set<Long>> shut = new HashMap<>();

    private int serial;

    PublishedTables(ClassNames classNames, LongConsumer waker) {
        this.classNames = classNames;
        this.waker = waker;
    }

    /**
     * What listed replicas are called, before the module may name them. Governors shut out who is
     * listed as leaving. A replica that was never seen so, and has not started anew since before it
     * was first seen, is held against by no proxy: a third of what a join comes to would tell of
     * such ones.
     */
    void listed(List<Endpoint> entries, boolean changes, Map<Long, String> called) {
        for (Endpoint entry : entries) {
            boolean before = !changes || names.containsKey(entry.replicaId());
            if (entry.health() != Endpoint.Health.READY || entry.startedAtTicks() > 0 && before) {
                suspect.add(entry.replicaId());
            }
        }
        if (suspect.size() > MOST_SUSPECT) {
            suspect.clear();
            allSuspect = true;
        }
        called.forEach((replica, name) -> DiscoveryClient.name(names, replica, name));
    }

    /** Staff keep replicas out that are listed as ready: any may be shut out. */
    void agreed() {
        allSuspect = true;
    }

    /**
     * Whether a proxy that gets a line must be told if it may send there, and the message grows by
     * that.
     */
    private boolean tell(Seat seat, long replica) {
        return (allSuspect || suspect.contains(replica))
                && seat.tell(replica, withdrawn.contains(replica));
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

    /** A table that this turn changes. */
    private Table changed(int number) {
        Table table = table(number);
        changed.add(table);
        table.forgetParts();
        return table;
    }

    @Override
    public int setTableEntry(int table, long replica, double weight) {
        Table to = changed(table);
        boolean enters = weight > 0 && !to.lines.containsKey(replica);
        to.newLines.put(replica, weight);
        if (weight > 0) {
            to.lines.put(replica, weight);
        } else {
            to.lines.remove(replica);
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
     * A proxy keeps what any governor before shut out, and nobody here may know of it: it is told
     * of each replica in its table that may ever have been shut out whether it may send there.
     */
    @Override
    public int bindProxy(int table, int proxy, ClassSet classes) {
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
    public int notifyDraining(long replica, boolean out, int proxy) {
        if (out) {
            withdrawn.add(replica);
        } else {
            withdrawn.remove(replica);
        }
        Seat seat = seats.get(proxy);
        boolean concerned =
                seat != null && (out || shut.getOrDefault(proxy, Set.of()).contains(replica));
        return concerned && seat.tell(replica, out) ? 1 : 0;
    }

    @Override
    public void setAdmissionLevel(int table, ClassSet classes, double level, int again) {
        Table to = changed(table);
        Level admitted = new Level(classes, level, again);
        to.levels.put(classes, admitted);
        to.newLevels.put(classes, admitted);
    }

    @Override
    public void requestAcknowledgement(int serial) {
        this.serial = serial;
    }

    @Override
    public void wakeAfter(long delay) {
        waker.accept(delay);
    }

    /** A proxy that still keeps off it is told otherwise as soon as a table names it again. */
    @Override
    public void forgetReplica(long replica) {
        names.remove(replica);
        withdrawn.remove(replica);
        shut.values().forEach(kept -> kept.remove(replica));
        seats.values().forEach(seat -> seat.told.remove(replica));
    }

    /** The module knows replicas by number; the staff know them by name. */
    @Override
    public void log(String line) {
        LOG.info(
                NUMBERED.matcher(line)
                        .replaceAll(
                                found ->
                                        "replica="
                                                + Matcher.quoteReplacement(
                                                        names.get(
                                                                Long.parseLong(found.group(1))))));
    }

    /** Sends each proxy what this turn ordered for it. */
    void flush() {
        seats.forEach(this::send);
        changed.forEach(Table::settle);
        told.forEach(Table::settle);
        changed.clear();
        told.clear();
        serial = 0;
    }

    private void send(int proxy, Seat seat) {
        if (changed.isEmpty() && !seat.concerned()) {
            return;
        }
        UpdateMessage message = new UpdateMessage();
        seat.bound.forEach((number, classes) -> parts(seat, number, classes).forEach(message::add));
        if (message.isEmpty() && seat.concerned()) {
            message.add(new UpdatePart.Builder(classNames, ClassSet.all()).build());
        }
        if (!message.isEmpty()) {
            tellWhoIsShutOut(message, proxy, seat);
            if (serial > 0) {
                message.mark(serial);
            }
            seat.stream.send(message.encode());
        }
        seat.fresh.clear();
        seat.out.clear();
        seat.back.clear();
    }

    /**
     * Adds what concerns all tables of a proxy, and notes what it keeps of that across its streams.
     */
    private void tellWhoIsShutOut(UpdateMessage message, int proxy, Seat seat) {
        Set<Long> kept = shut.computeIfAbsent(proxy, number -> new TreeSet<>());
        if (!seat.out.isEmpty()) {
            message.out(named(seat.out));
            kept.addAll(seat.out);
        }
        if (!seat.back.isEmpty()) {
            message.back(named(seat.back));
            kept.removeAll(seat.back);
        }
    }

    @Override
    public int messageCount(int proxy) {
        Seat seat = seats.get(proxy);
        int parts = 0;
        if (seat != null) {
            for (Map.Entry<Integer, ClassSet> bound : seat.bound.entrySet()) {
                parts += parts(seat, bound.getKey(), bound.getValue()).size();
            }
        }
        return Math.max(1, UpdateMessage.messages(parts));
    }

    /**
     * The parts that tell a proxy of one of its tables in this turn; encoded once for all who are
     * told the same.
     */
    private List<UpdatePart> parts(Seat seat, int number, ClassSet classes) {
        Table table = tables.get(number);
        if (seat.fresh.contains(number)) {
            told.add(table);
            return table.wholeParts.computeIfAbsent(
                    classes, meant -> encode(meant, table.lines, table.levels, true));
        } else if (changed.contains(table)) {
            return table.newParts.computeIfAbsent(
                    classes, meant -> encode(meant, table.newLines, table.newLevels, false));
        }
        return List.of();
    }

    private List<UpdatePart> encode(
            ClassSet classes, Map<Long, Double> lines, Map<ClassSet, Level> levels, boolean whole) {
        List<UpdatePart> parts = new ArrayList<>();
        Level beside = null;
        if (whole || !lines.isEmpty()) {
            UpdatePart.Builder part =
                    new UpdatePart.Builder(classNames, classes).lines(whole, lines, names);
            beside = forAll(classes, levels.values());
            if (beside != null) {
                part.level(beside.level, beside.again);
            }
            parts.add(part.build());
        }
        for (Level level : levels.values()) {
            ClassSet meant = classes.intersection(level.classes);
            if (level != beside && !meant.isEmpty()) {
                parts.add(
                        new UpdatePart.Builder(classNames, meant)
                                .level(level.level, level.again)
                                .build());
            }
        }
        return parts;
    }

    /** The first level that holds for all of some classes, or null: it needs no part of its own. */
    private static Level forAll(ClassSet classes, Collection<Level> levels) {
        for (Level level : levels) {
            if (classes.intersection(level.classes).equals(classes)) {
                return level;
            }
        }
        return null;
    }

    private String named(Set<Long> replicas) {
        StringJoiner list = new StringJoiner(",");
        replicas.forEach(replica -> list.add(names.get(replica)));
        return list.toString();
    }
}
