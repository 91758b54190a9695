package rockshift.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import rockshift.raft.ClientSessions;
import rockshift.raft.Entry;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.raft.Message;
import rockshift.raft.Snapshot;
import rockshift.raft.TermAndVote;

/**
 * Entries, messages and snapshots as bytes: CBOR arrays of a fixed order, told in docs/raft.md. A
 * reader takes exactly what a writer gave: a missing, further or ill-typed item is an error, and
 * nothing of a spoilt one is used.
 */
public final class RaftCodec {
    private RaftCodec() {}

    private static void write(CborWriter out, Membership members) throws IOException {
        out.startArray();
        if (members != null) {
            for (Member member : members.all()) {
                out.add(member.id())
                        .text(member.name())
                        .text(member.address())
                        .add(member.role().ordinal());
            }
        }
        out.endArray();
    }

    private static void write(CborWriter out, Entry entry) throws IOException {
        out.add(
                        entry.index(),
                        entry.term(),
                        entry.kind().ordinal(),
                        entry.session(),
                        entry.serial())
                .binary(entry.body());
        write(out, entry.members());
    }

    private static Membership readMembers(CborReader in) throws IOException {
        in.startArray();
        List<Member> all = new ArrayList<>();
        while (in.more()) {
            if (all.size() >= Membership.MAX_MEMBERS) {
                throw new IOException("no list of members");
            }
            long id = in.currentNumber();
            String name = in.text();
            String address = in.text();
            all.add(new Member(id, name, address, in.oneOf(Member.Role.values())));
        }
        return new Membership(all);
    }

    private static Entry readEntry(CborReader in) throws IOException {
        long index = in.number();
        long term = in.number();
        Entry.Kind kind = in.oneOf(Entry.Kind.values());
        long session = in.number();
        long serial = in.number();
        byte[] body = in.bytes();
        Membership members = readMembers(in);
        return new Entry(
                index,
                term,
                kind,
                session,
                serial,
                body,
                kind == Entry.Kind.MEMBERSHIP ? members : null);
    }

    public static byte[] entry(Entry entry) throws IOException {
        CborWriter writer = new CborWriter();
        writer.startArray();
        write(writer, entry);
        writer.endArray();
        return writer.end();
    }

    public static Entry entry(byte[] bytes, int from, int length) throws IOException {
        CborReader reader = new CborReader(bytes, from, length);
        reader.startArray();
        Entry entry = readEntry(reader);
        reader.end();
        return entry;
    }

    public static byte[] termAndVote(TermAndVote ballot) throws IOException {
        return numbers(ballot.term(), ballot.votedFor());
    }

    public static byte[] numbers(long... numbers) throws IOException {
        CborWriter writer = new CborWriter();
        writer.startArray();
        writer.add(numbers);
        writer.endArray();
        return writer.end();
    }

    public static long[] numbers(int count, byte[] bytes, int from, int length) throws IOException {
        CborReader reader = new CborReader(bytes, from, length);
        reader.startArray();
        long[] numbers = new long[count];
        for (int i = 0; i < count; i++) {
            numbers[i] = reader.number();
        }
        reader.end();
        return numbers;
    }

    public static byte[] snapshot(Snapshot snapshot) throws IOException {
        CborWriter writer = new CborWriter();
        writer.startArray();
        writer.add(snapshot.index(), snapshot.term());
        write(writer, snapshot.membership());
        writer.binary(snapshot.data());
        writer.endArray();
        return writer.end();
    }

    public static Snapshot snapshot(byte[] bytes, int from, int length) throws IOException {
        CborReader reader = new CborReader(bytes, from, length);
        reader.startArray();
        Snapshot snapshot =
                new Snapshot(reader.number(), reader.number(), readMembers(reader), reader.bytes());
        reader.end();
        return snapshot;
    }

    /** The data of a snapshot: the sessions, and the machine's own image. */
    public static byte[] image(List<ClientSessions.Session> sessions, byte[] machine)
            throws IOException {
        CborWriter writer = new CborWriter();
        writer.startArray();
        writer.add(sessions.size());
        for (ClientSessions.Session session : sessions) {
            writer.add(session.id(), session.serial());
            writer.binary(session.answer());
        }
        writer.binary(machine);
        writer.endArray();
        return writer.end();
    }

    public static void restore(byte[] image, ClientSessions into) throws IOException {
        CborReader reader = new CborReader(image, 0, image.length);
        reader.startArray();
        List<ClientSessions.Session> sessions = new ArrayList<>();
        for (int count = reader.whole(ClientSessions.MAX_SESSIONS); count > 0; count--) {
            sessions.add(
                    new ClientSessions.Session(reader.number(), reader.number(), reader.bytes()));
        }
        byte[] machine = reader.bytes();
        reader.end();
        into.restore(sessions, machine);
    }

    /** Who speaks, as the first frame of a connection tells. */
    public record Hello(long version, long cluster, long id, String name, Membership members) {}

    public static byte[] hello(Hello hello) throws IOException {
        CborWriter writer = new CborWriter();
        writer.startArray();
        writer.add(hello.version, hello.cluster, hello.id);
        writer.text(hello.name);
        write(writer, hello.members);
        writer.endArray();
        return writer.end();
    }

    public static Hello hello(byte[] bytes) throws IOException {
        CborReader reader = new CborReader(bytes, 0, bytes.length);
        reader.startArray();
        long version = reader.number();
        if (version != Frames.VERSION) {
            throw new Frames.InvalidFrameException(
                    "version", "it speaks version " + version + ", this is " + Frames.VERSION);
        }
        Hello hello =
                new Hello(
                        version,
                        reader.number(),
                        reader.number(),
                        reader.text(),
                        readMembers(reader));
        reader.end();
        return hello;
    }

    /** A message, its kind first. */
    public static byte[] message(Message message) throws IOException {
        CborWriter w = new CborWriter();
        w.startArray();
        int kind =
                message instanceof Message.VoteRequest
                        ? 0
                        : message instanceof Message.VoteResponse
                                ? 1
                                : message instanceof Message.AppendRequest
                                        ? 2
                                        : message instanceof Message.AppendResponse
                                                ? 3
                                                : message instanceof Message.SnapshotChunk
                                                        ? 4
                                                        : message
                                                                        instanceof
                                                                        Message
                                                                                .SnapshotChunkResponse
                                                                ? 5
                                                                : 6;
        w.add(kind, message.from(), message.to(), message.term());
        if (message instanceof Message.VoteRequest m) {
            w.add(m.lastLogIndex(), m.lastLogTerm()).flag(m.preVote(), m.leadershipTransfer());
        } else if (message instanceof Message.VoteResponse m) {
            w.flag(m.preVote(), m.granted());
        } else if (message instanceof Message.AppendRequest m) {
            w.add(
                    m.prevLogIndex(),
                    m.prevLogTerm(),
                    m.leaderCommitIndex(),
                    m.round(),
                    m.sentAtTicks(),
                    m.entries().size());
            for (Entry entry : m.entries()) {
                write(w, entry);
            }
        } else if (message instanceof Message.AppendResponse m) {
            w.flag(m.success())
                    .add(
                            m.matchIndex(),
                            m.conflictTerm(),
                            m.rejectedIndex(),
                            m.round(),
                            m.sentAtTicks(),
                            m.followerClockTicks());
        } else if (message instanceof Message.SnapshotChunk m) {
            w.add(m.snapshotIndex(), m.snapshotTerm());
            write(w, m.membership());
            w.add(m.totalBytes(), m.checksum(), m.offset());
            w.binary(m.bytes());
            w.add(m.round(), m.sentAtTicks());
        } else if (message instanceof Message.SnapshotChunkResponse m) {
            w.add(
                    m.snapshotIndex(),
                    m.receivedBytes(),
                    m.round(),
                    m.sentAtTicks(),
                    m.followerClockTicks());
        }
        w.endArray();
        return w.end();
    }

    public static Message message(byte[] bytes) throws IOException {
        CborReader r = new CborReader(bytes, 0, bytes.length);
        r.startArray();
        int kind = r.whole(6);
        long from = r.number();
        long to = r.number();
        long term = r.number();
        Message message =
                switch (kind) {
                    case 0 ->
                            new Message.VoteRequest(
                                    from, to, term, r.number(), r.number(), r.flag(), r.flag());
                    case 1 -> new Message.VoteResponse(from, to, term, r.flag(), r.flag());
                    case 2 -> {
                        long[] head = {r.number(), r.number(), r.number(), r.number(), r.number()};
                        List<Entry> entries = new ArrayList<>();
                        for (int count = r.whole(Integer.MAX_VALUE); count > 0; count--) {
                            entries.add(readEntry(r));
                        }
                        yield new Message.AppendRequest(
                                from, to, term, head[0], head[1], head[2], head[3], head[4],
                                entries);
                    }
                    case 3 ->
                            new Message.AppendResponse(
                                    from,
                                    to,
                                    term,
                                    r.flag(),
                                    r.number(),
                                    r.number(),
                                    r.number(),
                                    r.number(),
                                    r.number(),
                                    r.number());
                    case 4 ->
                            new Message.SnapshotChunk(
                                    from,
                                    to,
                                    term,
                                    r.number(),
                                    r.number(),
                                    readMembers(r),
                                    r.whole(Integer.MAX_VALUE),
                                    (int) r.number(),
                                    r.whole(Integer.MAX_VALUE),
                                    r.bytes(),
                                    r.number(),
                                    r.number());
                    case 5 ->
                            new Message.SnapshotChunkResponse(
                                    from,
                                    to,
                                    term,
                                    r.number(),
                                    r.whole(Integer.MAX_VALUE),
                                    r.number(),
                                    r.number(),
                                    r.number());
                    default -> new Message.TimeoutNow(from, to, term);
                };
        r.end();
        return message;
    }
}
