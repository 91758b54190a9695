package rockshift.cluster;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import rockshift.raft.Ballot;
import rockshift.raft.Entry;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.raft.Message;
import rockshift.raft.Sessions;
import rockshift.raft.Snapshot;

/**
 * Entries, messages and snapshots as bytes: CBOR arrays of a fixed order, told in docs/raft.md. A reader takes exactly what
 * a writer gave: a missing, further or ill-typed item is an error, and nothing of a spoilt one is used.
 */
public final class Codec {
    private static final CBORFactory CBOR = new CBORFactory();
    private static final byte[] NOTHING = {};

    private Codec() {}

    /** Writes the items of one array. */
    private static final class Writer {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        final CBORGenerator out;

        Writer() throws IOException {
            out = CBOR.createGenerator(bytes);
        }

        Writer add(long... numbers) throws IOException {
            for (long number : numbers) {
                out.writeNumber(number);
            }
            return this;
        }

        Writer flag(boolean... flags) throws IOException {
            for (boolean flag : flags) {
                out.writeBoolean(flag);
            }
            return this;
        }

        void members(Membership members) throws IOException {
            out.writeStartArray();
            if (members != null) {
                for (Member member : members.all()) {
                    add(member.id());
                    out.writeString(member.name());
                    out.writeString(member.address());
                    add(member.role().ordinal());
                }
            }
            out.writeEndArray();
        }

        void entry(Entry entry) throws IOException {
            add(entry.index(), entry.term(), entry.kind().ordinal(), entry.session(), entry.serial());
            out.writeBinary(entry.body());
            members(entry.members());
        }

        byte[] end() throws IOException {
            out.close();
            return bytes.toByteArray();
        }
    }

    /** Reads them back. */
    private static final class Reader {
        final CBORParser in;

        Reader(byte[] bytes, int from, int length) throws IOException {
            in = CBOR.createParser(bytes, from, length);
        }

        void expect(JsonToken token) throws IOException {
            JsonToken came = in.nextToken();
            if (came != token) {
                throw new IOException("expected " + token + ", found " + came);
            }
        }

        long number() throws IOException {
            expect(JsonToken.VALUE_NUMBER_INT);
            return in.getLongValue();
        }

        int whole(int most) throws IOException {
            long number = number();
            if (number < 0 || number > most) {
                throw new IOException(number + " out of range");
            }
            return (int) number;
        }

        boolean flag() throws IOException {
            JsonToken token = in.nextToken();
            if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
                throw new IOException("expected a yes or no, found " + token);
            }
            return token == JsonToken.VALUE_TRUE;
        }

        String text() throws IOException {
            expect(JsonToken.VALUE_STRING);
            return in.getText();
        }

        byte[] bytes() throws IOException {
            expect(JsonToken.VALUE_EMBEDDED_OBJECT);
            byte[] value = in.getBinaryValue();
            return value == null ? NOTHING : value;
        }

        Membership members() throws IOException {
            expect(JsonToken.START_ARRAY);
            List<Member> all = new ArrayList<>();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                if (in.currentToken() != JsonToken.VALUE_NUMBER_INT || all.size() >= Membership.MOST) {
                    throw new IOException("no list of members");
                }
                long id = in.getLongValue();
                String name = text();
                String address = text();
                all.add(new Member(id, name, address,
                        Member.Role.values()[whole(Member.Role.values().length - 1)]));
            }
            return new Membership(all);
        }

        Entry entry() throws IOException {
            long index = number();
            long term = number();
            Entry.Kind kind = Entry.Kind.values()[whole(Entry.Kind.values().length - 1)];
            long session = number();
            long serial = number();
            byte[] body = bytes();
            Membership members = members();
            return new Entry(index, term, kind, session, serial, body,
                    kind == Entry.Kind.MEMBERS ? members : null);
        }

        void end() throws IOException {
            expect(JsonToken.END_ARRAY);
            if (in.nextToken() != null) {
                throw new IOException("more than one item");
            }
        }
    }

    static byte[] entry(Entry entry) throws IOException {
        Writer writer = new Writer();
        writer.out.writeStartArray();
        writer.entry(entry);
        writer.out.writeEndArray();
        return writer.end();
    }

    static Entry entry(byte[] bytes, int from, int length) throws IOException {
        Reader reader = new Reader(bytes, from, length);
        reader.expect(JsonToken.START_ARRAY);
        Entry entry = reader.entry();
        reader.end();
        return entry;
    }

    static byte[] ballot(Ballot ballot) throws IOException {
        return numbers(ballot.term(), ballot.vote());
    }

    static byte[] numbers(long... numbers) throws IOException {
        Writer writer = new Writer();
        writer.out.writeStartArray();
        writer.add(numbers);
        writer.out.writeEndArray();
        return writer.end();
    }

    static long[] numbers(int count, byte[] bytes, int from, int length) throws IOException {
        Reader reader = new Reader(bytes, from, length);
        reader.expect(JsonToken.START_ARRAY);
        long[] numbers = new long[count];
        for (int i = 0; i < count; i++) {
            numbers[i] = reader.number();
        }
        reader.end();
        return numbers;
    }

    static byte[] snapshot(Snapshot snapshot) throws IOException {
        Writer writer = new Writer();
        writer.out.writeStartArray();
        writer.add(snapshot.index(), snapshot.term());
        writer.members(snapshot.members());
        writer.out.writeBinary(snapshot.data());
        writer.out.writeEndArray();
        return writer.end();
    }

    static Snapshot snapshot(byte[] bytes, int from, int length) throws IOException {
        Reader reader = new Reader(bytes, from, length);
        reader.expect(JsonToken.START_ARRAY);
        Snapshot snapshot = new Snapshot(reader.number(), reader.number(), reader.members(), reader.bytes());
        reader.end();
        return snapshot;
    }

    /** The data of a snapshot: the sessions, and the machine's own image. */
    static byte[] image(List<Sessions.Session> sessions, byte[] machine) throws IOException {
        Writer writer = new Writer();
        writer.out.writeStartArray();
        writer.add(sessions.size());
        for (Sessions.Session session : sessions) {
            writer.add(session.id(), session.serial());
            writer.out.writeBinary(session.answer());
        }
        writer.out.writeBinary(machine);
        writer.out.writeEndArray();
        return writer.end();
    }

    static void restore(byte[] image, Sessions into) throws IOException {
        Reader reader = new Reader(image, 0, image.length);
        reader.expect(JsonToken.START_ARRAY);
        List<Sessions.Session> sessions = new ArrayList<>();
        for (int count = reader.whole(Sessions.MOST); count > 0; count--) {
            sessions.add(new Sessions.Session(reader.number(), reader.number(), reader.bytes()));
        }
        byte[] machine = reader.bytes();
        reader.end();
        into.restore(sessions, machine);
    }

    /** Who speaks, as the first frame of a connection tells. */
    record Hello(long version, long cluster, long id, String name, Membership members) {}

    static byte[] hello(Hello hello) throws IOException {
        Writer writer = new Writer();
        writer.out.writeStartArray();
        writer.add(hello.version, hello.cluster, hello.id);
        writer.out.writeString(hello.name);
        writer.members(hello.members);
        writer.out.writeEndArray();
        return writer.end();
    }

    static Hello hello(byte[] bytes) throws IOException {
        Reader reader = new Reader(bytes, 0, bytes.length);
        reader.expect(JsonToken.START_ARRAY);
        long version = reader.number();
        if (version != Frames.VERSION) {
            throw new Frames.Broken("version",
                    "it speaks version " + version + ", this is " + Frames.VERSION);
        }
        Hello hello = new Hello(version, reader.number(), reader.number(), reader.text(), reader.members());
        reader.end();
        return hello;
    }

    /** A message, its kind first. */
    public static byte[] message(Message message) throws IOException {
        Writer w = new Writer();
        w.out.writeStartArray();
        int kind = message instanceof Message.Ask ? 0 : message instanceof Message.Vote ? 1
                : message instanceof Message.Append ? 2 : message instanceof Message.Appended ? 3
                        : message instanceof Message.Piece ? 4 : message instanceof Message.Taken ? 5 : 6;
        w.add(kind, message.from(), message.to(), message.term());
        if (message instanceof Message.Ask m) {
            w.add(m.lastIndex(), m.lastTerm()).flag(m.trial(), m.forced());
        } else if (message instanceof Message.Vote m) {
            w.flag(m.trial(), m.given());
        } else if (message instanceof Message.Append m) {
            w.add(m.prevIndex(), m.prevTerm(), m.commit(), m.round(), m.sentAt(), m.entries().size());
            for (Entry entry : m.entries()) {
                w.entry(entry);
            }
        } else if (message instanceof Message.Appended m) {
            w.flag(m.ok()).add(m.match(), m.hintTerm(), m.refused(), m.round(), m.sentAt(), m.clock());
        } else if (message instanceof Message.Piece m) {
            w.add(m.index(), m.snapshotTerm());
            w.members(m.members());
            w.add(m.total(), m.checksum(), m.offset());
            w.out.writeBinary(m.bytes());
            w.add(m.round(), m.sentAt());
        } else if (message instanceof Message.Taken m) {
            w.add(m.index(), m.offset(), m.round(), m.sentAt(), m.clock());
        }
        w.out.writeEndArray();
        return w.end();
    }

    public static Message message(byte[] bytes) throws IOException {
        Reader r = new Reader(bytes, 0, bytes.length);
        r.expect(JsonToken.START_ARRAY);
        int kind = r.whole(6);
        long from = r.number();
        long to = r.number();
        long term = r.number();
        Message message = switch (kind) {
            case 0 -> new Message.Ask(from, to, term, r.number(), r.number(), r.flag(), r.flag());
            case 1 -> new Message.Vote(from, to, term, r.flag(), r.flag());
            case 2 -> {
                long[] head = {r.number(), r.number(), r.number(), r.number(), r.number()};
                List<Entry> entries = new ArrayList<>();
                for (int count = r.whole(Integer.MAX_VALUE); count > 0; count--) {
                    entries.add(r.entry());
                }
                yield new Message.Append(from, to, term, head[0], head[1], head[2], head[3], head[4],
                        entries);
            }
            case 3 -> new Message.Appended(from, to, term, r.flag(), r.number(), r.number(), r.number(),
                    r.number(),
                    r.number(), r.number());
            case 4 -> new Message.Piece(from, to, term, r.number(), r.number(), r.members(),
                    r.whole(Integer.MAX_VALUE), (int) r.number(), r.whole(Integer.MAX_VALUE), r.bytes(),
                    r.number(),
                    r.number());
            case 5 -> new Message.Taken(from, to, term, r.number(), r.whole(Integer.MAX_VALUE), r.number(),
                    r.number(),
                    r.number());
            default -> new Message.Campaign(from, to, term);
        };
        r.end();
        return message;
    }
}
