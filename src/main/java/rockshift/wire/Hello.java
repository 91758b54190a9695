package rockshift.wire;

import java.io.IOException;
import rockshift.raft.Membership;

/**
 * Who a member is: the first frame on a connection between members.
 *
 * @param version the version of the protocol that it speaks
 * @param cluster the cluster that it is part of, 0 if none yet
 * @param id its own id
 * @param name what operators call it
 * @param members the membership that it knows
 */
public record Hello(long version, long cluster, long id, String name, Membership members) {
    /** The bytes of this greeting. */
    public byte[] encode() throws IOException {
        CborWriter writer = new CborWriter();
        writer.startArray();
        writer.add(version, cluster, id);
        writer.text(name);
        StateCodec.writeMembership(writer, members);
        writer.endArray();
        return writer.end();
    }

    /** Reads a greeting; one of another version is refused before the rest is looked at. */
    public static Hello decode(byte[] bytes) throws IOException {
        CborReader reader = new CborReader(bytes, 0, bytes.length);
        reader.startArray();
        long version = reader.number();
        if (version != Frames.VERSION) {
            throw new Frames.InvalidFrameException(
                    "version", "it speaks version " + version + ", this is " + Frames.VERSION);
        }
        long cluster = reader.number();
        long id = reader.number();
        String name = reader.text();
        Hello hello = new Hello(version, cluster, id, name, StateCodec.readMembership(reader));
        reader.end();
        return hello;
    }
}
