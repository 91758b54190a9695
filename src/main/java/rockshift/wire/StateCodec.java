package rockshift.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import rockshift.raft.ClientSessions;
import rockshift.raft.Entry;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.raft.Snapshot;
import rockshift.raft.TermAndVote;

/**
 * Encodes the state that members store: entries, term and vote, snapshots and their images, as CBOR
 * arrays with items in a fixed order. Decoding accepts only what encoding produces: a missing or
 * extra item, or one of the wrong type, is an error, and no part of a damaged value is used.
 */
public final class StateCodec {
    private StateCodec() {}

    /** Writes a membership; null is written as one without members. */
    static void writeMembership(CborWriter writer, Membership membership) throws IOException {
        writer.startArray();
        if (membership != null) {
            for (Member member : membership.all()) {
                writer.add(member.id())
                        .text(member.name())
                        .text(member.address())
                        .add(member.role().ordinal());
            }
        }
        writer.endArray();
    }

    static Membership readMembership(CborReader reader) throws IOException {
        reader.startArray();
        List<Member> members = new ArrayList<>();
        while (reader.more()) {
            if (members.size() >= Membership.MAX_MEMBERS) {
                throw new IOException(
                        "expected at most " + Membership.MAX_MEMBERS + " members, found more");
            }
            long id = reader.currentNumber();
            String name = reader.text();
            String address = reader.text();
            members.add(new Member(id, name, address, reader.enumConstant(Member.Role.values())));
        }
        return new Membership(members);
    }

    static void writeEntry(CborWriter writer, Entry entry) throws IOException {
        writer.add(entry.index(), entry.term(), entry.kind().ordinal());
        writer.add(entry.session(), entry.serial());
        writer.binary(entry.body());
        writeMembership(writer, entry.members());
    }

    static Entry readEntry(CborReader reader) throws IOException {
        long index = reader.number();
        long term = reader.number();
        Entry.Kind kind = reader.enumConstant(Entry.Kind.values());
        long session = reader.number();
        long serial = reader.number();
        byte[] body = reader.bytes();
        Membership membership = readMembership(reader);
        return new Entry(
                index,
                term,
                kind,
                session,
                serial,
                body,
                kind == Entry.Kind.MEMBERSHIP ? membership : null);
    }

    /** Returns an encoded entry. */
    public static byte[] encodeEntry(Entry entry) throws IOException {
        CborWriter writer = new CborWriter();
        writer.startArray();
        writeEntry(writer, entry);
        writer.endArray();
        return writer.end();
    }

    /** Decodes the entry in a part of an array. */
    public static Entry decodeEntry(byte[] bytes, int from, int length) throws IOException {
        CborReader reader = new CborReader(bytes, from, length);
        reader.startArray();
        Entry entry = readEntry(reader);
        reader.end();
        return entry;
    }

    /** Returns an encoded term and vote; {@link #decodeNumbers} decodes them as two numbers. */
    public static byte[] encodeTermAndVote(TermAndVote termAndVote) throws IOException {
        return encodeNumbers(termAndVote.term(), termAndVote.votedFor());
    }

    /** Returns encoded numbers. Their count is not encoded: the reader must know it. */
    public static byte[] encodeNumbers(long... numbers) throws IOException {
        CborWriter writer = new CborWriter();
        writer.startArray();
        writer.add(numbers);
        writer.endArray();
        return writer.end();
    }

    /** Decodes {@code count} numbers in a part of an array. */
    public static long[] decodeNumbers(int count, byte[] bytes, int from, int length)
            throws IOException {
        CborReader reader = new CborReader(bytes, from, length);
        reader.startArray();
        long[] numbers = new long[count];
        for (int i = 0; i < count; i++) {
            numbers[i] = reader.number();
        }
        reader.end();
        return numbers;
    }

    /** Returns an encoded snapshot. */
    public static byte[] encodeSnapshot(Snapshot snapshot) throws IOException {
        CborWriter writer = new CborWriter();
        writer.startArray();
        writer.add(snapshot.index(), snapshot.term());
        writeMembership(writer, snapshot.membership());
        writer.binary(snapshot.data());
        writer.endArray();
        return writer.end();
    }

    /** Decodes the snapshot in a part of an array. */
    public static Snapshot decodeSnapshot(byte[] bytes, int from, int length) throws IOException {
        CborReader reader = new CborReader(bytes, from, length);
        reader.startArray();
        long index = reader.number();
        long term = reader.number();
        Membership membership = readMembership(reader);
        Snapshot snapshot = new Snapshot(index, term, membership, reader.bytes());
        reader.end();
        return snapshot;
    }

    /**
     * Returns the encoded data of a snapshot: all client sessions, and the image of the state
     * machine.
     */
    public static byte[] encodeImage(
            List<ClientSessions.Session> sessions, byte[] stateMachineImage) throws IOException {
        CborWriter writer = new CborWriter();
        writer.startArray();
        writer.add(sessions.size());
        for (ClientSessions.Session session : sessions) {
            writer.add(session.id(), session.serial());
            writer.binary(session.answer());
        }
        writer.binary(stateMachineImage);
        writer.endArray();
        return writer.end();
    }

    /**
     * Replaces the sessions and the state machine with those in the data of a snapshot.
     *
     * @throws IOException if the data cannot be decoded; nothing is replaced in this case
     */
    public static void restoreImage(byte[] image, ClientSessions into) throws IOException {
        CborReader reader = new CborReader(image, 0, image.length);
        reader.startArray();
        List<ClientSessions.Session> sessions = new ArrayList<>();
        for (int count = reader.unsignedInt(ClientSessions.MAX_SESSIONS); count > 0; count--) {
            long id = reader.number();
            long serial = reader.number();
            sessions.add(new ClientSessions.Session(id, serial, reader.bytes()));
        }
        byte[] stateMachineImage = reader.bytes();
        reader.end();
        into.restore(sessions, stateMachineImage);
    }
}
