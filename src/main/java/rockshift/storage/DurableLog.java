package rockshift.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.function.Consumer;
import rockshift.raft.Checksum;
import rockshift.raft.Entry;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.raft.Snapshot;
import rockshift.raft.TermAndVote;
import rockshift.wire.RaftCodec;

/**
 * What a member must not forget, on its disk: who it is, its ballot, its entries in segments, and
 * two generations of snapshots. A save is one batch and one sync. After a crash a torn tail is cut;
 * damage to what was durable is refused and named, never passed over. The format is told in
 * docs/raft.md. It must be used by one thread.
 */
public final class DurableLog {
    /**
     * Bytes after which a new segment begins: small enough to read whole, large enough to be rare.
     */
    private static final int SEGMENT = 4 << 20;

    private static final int MAGIC = 0x52534c47;
    private static final int FORMAT = 1;
    private static final int HEADER = 28;
    private static final int FRAME = 9;

    /** Bytes of the longest record: a few of the largest changes. */
    private static final int LONGEST = 32 << 20;

    private static final byte BATCH = 1;
    private static final byte BALLOT = 2;
    private static final byte ENTRY = 3;
    private static final byte VOID = 4;
    private static final byte IDENTITY = 5;
    private static final byte SNAPSHOT = 6;
    private static final String IDENTITY_FILE = "identity";
    private static final String ASIDE = ".new";

    /** What a folder holds. */
    public record Recovered(
            long id, long cluster, TermAndVote ballot, Snapshot snapshot, List<Entry> entries) {}

    private final Disk disk;
    private final Consumer<String> log;
    private long id;
    private long cluster;
    private TermAndVote ballot = TermAndVote.NONE;

    /** By number: the highest index that a segment holds; the last one is written to. */
    private final TreeMap<Long, Long> segments = new TreeMap<>();

    private final List<Long> snapshots = new ArrayList<>();
    private long size;
    private boolean torn;

    /** Up to where a snapshot from elsewhere has replaced entries: it must be there. */
    private long voided;

    public DurableLog(Disk disk, Consumer<String> log) {
        this.disk = disk;
        this.log = log;
    }

    private static String segment(long number) {
        return String.format(Locale.ROOT, "log-%016x", number);
    }

    private static String snapshotFile(long index) {
        return String.format(Locale.ROOT, "snapshot-%016x", index);
    }

    // ---- reading --------------------------------------------------------------------------------

    /** Reads the folder; one that is empty becomes that of a new member with the number given. */
    public Recovered open(long freshId) throws IOException {
        List<String> names = new ArrayList<>(disk.list());
        for (String name : List.copyOf(names)) {
            if (name.endsWith(ASIDE)) {
                disk.delete(name);
                names.remove(name);
            }
        }
        if (!names.contains(IDENTITY_FILE)) {
            if (!names.isEmpty()) {
                throw new UnrecoverableStorageException(
                        names.get(0), 0, "no identity beside it: a folder of something else");
            }
            id = freshId;
            writeIdentity();
        }
        byte[] bytes = disk.read(IDENTITY_FILE);
        if (!valid(bytes, 0, IDENTITY) || bytes.length != end(bytes, 0)) {
            throw new UnrecoverableStorageException(IDENTITY_FILE, 0, "damaged");
        }
        long[] told = RaftCodec.numbers(3, bytes, FRAME, bytes.length - FRAME);
        if (told[0] != FORMAT) {
            throw new UnrecoverableStorageException(
                    IDENTITY_FILE, 0, "format " + told[0] + ", this is " + FORMAT);
        }
        id = told[1];
        cluster = told[2];
        List<Entry> entries = new ArrayList<>();
        readSegments(names, entries);
        Snapshot snapshot = readSnapshot(names);
        long base = snapshot.index();
        if (voided > base) {
            throw new UnrecoverableStorageException(
                    snapshotFile(voided), 0, "missing or damaged, and nothing else stands for it");
        }
        if (!entries.isEmpty() && entries.get(0).index() > base + 1) {
            throw new UnrecoverableStorageException(
                    segment(segments.firstKey()),
                    HEADER,
                    "begins with entry "
                            + entries.get(0).index()
                            + ", the snapshot ends with "
                            + base);
        }
        if (!entries.isEmpty() && !joins(entries, snapshot)) {
            // The crash came when a snapshot from elsewhere was kept and its entries were not yet
            // void.
            entries.clear();
            save(ballot, 0, List.of(), snapshot);
        }
        entries.removeIf(entry -> entry.index() <= base);
        return new Recovered(id, cluster, ballot, snapshot, entries);
    }

    /** Whether the entries lead up to a snapshot or go on from it. */
    private static boolean joins(List<Entry> entries, Snapshot snapshot) {
        long first = entries.get(0).index();
        long at = snapshot.index() - first;
        return at < 0 || at < entries.size() && entries.get((int) at).term() == snapshot.term();
    }

    private void readSegments(List<String> names, List<Entry> entries) throws IOException {
        for (String name : names) {
            if (name.startsWith("log-")) {
                segments.put(Long.parseUnsignedLong(name.substring(4), 16), 0L);
            }
        }
        long expected = segments.isEmpty() ? 0 : segments.firstKey();
        for (long number : List.copyOf(segments.keySet())) {
            if (number != expected++) {
                throw new UnrecoverableStorageException(
                        segment(number), 0, "segment " + (expected - 1) + " before it is missing");
            }
            boolean last = number == segments.lastKey();
            byte[] bytes = disk.read(segment(number));
            if (last && bytes.length < HEADER) {
                // Begun as the crash came, and nothing in it was promised.
                disk.delete(segment(number));
                segments.remove(number);
            } else {
                size = readSegment(number, bytes, last, entries);
            }
        }
        if (segments.isEmpty()) {
            roll(0);
        }
    }

    /** Answers where the sound part ends. */
    private long readSegment(long number, byte[] bytes, boolean last, List<Entry> entries)
            throws IOException {
        String name = segment(number);
        ByteBuffer head = ByteBuffer.wrap(bytes);
        if (bytes.length < HEADER
                || head.getInt(0) != MAGIC
                || head.getLong(8) != number
                || head.getInt(HEADER - 4) != Checksum.of(bytes, 0, HEADER - 4)) {
            throw new UnrecoverableStorageException(name, 0, "its header is damaged");
        } else if (head.getInt(4) != FORMAT) {
            throw new UnrecoverableStorageException(
                    name, 4, "format " + head.getInt(4) + ", this is " + FORMAT);
        } else if (head.getLong(16) != id) {
            throw new UnrecoverableStorageException(name, 16, "a segment of another member");
        }
        int at = HEADER;
        while (at < bytes.length) {
            if (!sound(bytes, at)) {
                if (!last) {
                    throw new UnrecoverableStorageException(
                            name, at, "damaged, and more follows in the next segment");
                }
                refuseLaterProof(name, bytes, at);
                log.accept(
                        name
                                + ": "
                                + (bytes.length - at)
                                + " bytes of an unfinished save cut at byte "
                                + at);
                disk.cut(name, at);
                break;
            }
            int from = at + FRAME;
            int length = end(bytes, at) - from;
            switch (bytes[at + 8]) {
                case BALLOT -> {
                    long[] told = RaftCodec.numbers(2, bytes, from, length);
                    ballot = new TermAndVote(told[0], told[1]);
                }
                case ENTRY -> {
                    Entry entry = RaftCodec.entry(bytes, from, length);
                    take(name, at, entries, entry);
                    segments.merge(number, entry.index(), Math::max);
                }
                case VOID -> {
                    entries.clear();
                    voided = RaftCodec.numbers(2, bytes, from, length)[0];
                    segments.merge(number, voided, Math::max);
                }
                case BATCH -> {}
                default ->
                        throw new UnrecoverableStorageException(
                                name, at, "a record of unknown kind " + bytes[at + 8]);
            }
            at = end(bytes, at);
        }
        return at;
    }

    private static void take(String name, int at, List<Entry> entries, Entry entry)
            throws IOException {
        if (!entries.isEmpty()) {
            long first = entries.get(0).index();
            long last = entries.get(entries.size() - 1).index();
            if (entry.index() > last + 1) {
                throw new UnrecoverableStorageException(
                        name, at, "entry " + entry.index() + " follows " + last);
            }
            entries.subList((int) Math.max(0, entry.index() - first), entries.size()).clear();
        }
        entries.add(entry);
    }

    /**
     * A batch that was begun when this place was durable already proves that the place was damaged
     * since.
     */
    private static void refuseLaterProof(String name, byte[] bytes, int at) throws IOException {
        for (int later = at + 1; later + FRAME < bytes.length; later++) {
            if (bytes[later + 8] == BATCH && valid(bytes, later, BATCH)) {
                long durable =
                        RaftCodec.numbers(
                                1, bytes, later + FRAME, end(bytes, later) - later - FRAME)[0];
                if (durable > at) {
                    throw new UnrecoverableStorageException(
                            name,
                            at,
                            "damaged, though it was durable before byte " + later + " was written");
                }
            }
        }
    }

    private static int end(byte[] bytes, int at) {
        return at + FRAME + ByteBuffer.wrap(bytes).getInt(at);
    }

    private static boolean sound(byte[] bytes, int at) {
        if (at + FRAME > bytes.length) {
            return false;
        }
        ByteBuffer frame = ByteBuffer.wrap(bytes);
        int length = frame.getInt(at);
        return length >= 0
                && length <= LONGEST
                && length <= bytes.length - at - FRAME
                && frame.getInt(at + 4) == Checksum.of(bytes, at + 8, length + 1);
    }

    private static boolean valid(byte[] bytes, int at, byte kind) {
        return sound(bytes, at) && bytes[at + 8] == kind;
    }

    private Snapshot readSnapshot(List<String> names) throws IOException {
        Snapshot found = null;
        for (int i = names.size() - 1; i >= 0; i--) {
            String name = names.get(i);
            if (!name.startsWith("snapshot-") || name.contains(".")) {
                continue;
            }
            byte[] bytes = disk.read(name);
            try {
                if (!valid(bytes, 0, SNAPSHOT) || end(bytes, 0) != bytes.length) {
                    throw new IOException("damaged");
                }
                Snapshot snapshot = RaftCodec.snapshot(bytes, FRAME, bytes.length - FRAME);
                found = found == null ? snapshot : found;
                snapshots.add(0, snapshot.index());
            } catch (IOException wrong) {
                log.accept(
                        name + ": " + wrong.getMessage() + "; set aside, the one before is used");
                disk.rename(name, name + ".damaged");
            }
        }
        return found == null ? new Snapshot(0, 0, new Membership(List.of()), new byte[0]) : found;
    }

    // ---- writing --------------------------------------------------------------------------------

    private static void record(ByteArrayOutputStream into, byte kind, byte[] payload) {
        byte[] body = new byte[payload.length + 1];
        body[0] = kind;
        System.arraycopy(payload, 0, body, 1, payload.length);
        into.writeBytes(
                ByteBuffer.allocate(8).putInt(payload.length).putInt(Checksum.of(body)).array());
        into.writeBytes(body);
    }

    private void replace(String name, byte kind, byte[] payload) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        record(bytes, kind, payload);
        replace(name, bytes.toByteArray());
    }

    /** Writes a file aside, makes it durable and puts it in place. */
    private void replace(String name, byte[] bytes) throws IOException {
        String aside = name + ASIDE;
        disk.delete(aside);
        if (disk.append(aside, bytes) != bytes.length) {
            throw new IOException(aside + ": the disk took less than it was given");
        }
        disk.sync(aside);
        disk.rename(aside, name);
    }

    private void writeIdentity() throws IOException {
        replace(IDENTITY_FILE, IDENTITY, RaftCodec.numbers(FORMAT, id, cluster));
    }

    /**
     * Becomes part of a cluster: as one of its founders, or (without members) as one that will be
     * brought up to date.
     */
    public Snapshot found(long newCluster, List<Member> founders) throws IOException {
        Snapshot first = new Snapshot(0, 0, new Membership(founders), new byte[0]);
        if (!founders.isEmpty()) {
            keep(first);
        }
        cluster = newCluster;
        writeIdentity();
        return first;
    }

    private void roll(long number) throws IOException {
        ByteBuffer head =
                ByteBuffer.allocate(HEADER)
                        .putInt(MAGIC)
                        .putInt(FORMAT)
                        .putLong(number)
                        .putLong(id);
        head.putInt(Checksum.of(head.array(), 0, HEADER - 4));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.array());
        // Segments before it may go one day, and must not take the ballot with them.
        record(bytes, BALLOT, RaftCodec.ballot(ballot));
        replace(segment(number), bytes.toByteArray());
        segments.put(number, 0L);
        size = bytes.size();
    }

    /**
     * Makes one save durable, or fails and leaves what was durable as it was: the same save can be
     * tried again.
     */
    public void save(TermAndVote newBallot, long from, List<Entry> entries, Snapshot snapshot)
            throws IOException {
        long number = segments.lastKey();
        String name = segment(number);
        if (torn) {
            disk.cut(name, size);
            torn = false;
        }
        if (size > SEGMENT) {
            roll(++number);
            name = segment(number);
        }
        if (snapshot != null) {
            keep(snapshot);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        record(bytes, BATCH, RaftCodec.numbers(size));
        if (!newBallot.equals(ballot)) {
            record(bytes, BALLOT, RaftCodec.ballot(newBallot));
        }
        long highest = 0;
        if (snapshot != null) {
            record(bytes, VOID, RaftCodec.numbers(snapshot.index(), snapshot.term()));
            highest = snapshot.index();
        }
        for (Entry entry : entries) {
            record(bytes, ENTRY, RaftCodec.entry(entry));
            highest = Math.max(highest, entry.index());
        }
        torn = true;
        if (disk.append(name, bytes.toByteArray()) != size + bytes.size()) {
            throw new IOException(name + ": the disk took less than it was given");
        }
        disk.sync(name);
        torn = false;
        size += bytes.size();
        ballot = newBallot;
        segments.merge(number, highest, Math::max);
    }

    /** Keeps a snapshot, and lets go of what the older of the two newest ones makes needless. */
    public void keep(Snapshot snapshot) throws IOException {
        if (!snapshots.isEmpty() && snapshot.index() < snapshots.get(snapshots.size() - 1)) {
            return;
        }
        replace(snapshotFile(snapshot.index()), SNAPSHOT, RaftCodec.snapshot(snapshot));
        snapshots.remove(snapshot.index());
        snapshots.add(snapshot.index());
        while (snapshots.size() > 2) {
            disk.delete(snapshotFile(snapshots.remove(0)));
        }
        long needless = snapshots.get(0);
        while (segments.size() > 1 && segments.firstEntry().getValue() <= needless) {
            disk.delete(segment(segments.firstKey()));
            segments.remove(segments.firstKey());
        }
    }

    public int segmentCount() {
        return segments.size();
    }
}
