package rockshift.wire;

import java.io.IOException;
import rockshift.raft.Membership;

/**
 * The first frame on a connection between members, which identifies the sender.
 *
 * @param version the protocol version of the sender
 * @param cluster the cluster that the sender is part of, 0 if none yet
 * @param id the id of the sender
 * @param name the name that operators use for the sender
 * @param members the membership known to the sender
 */
public record Hello(long version, long cluster, long id, String name, Membership members) {
    /** Returns the encoded hello. */
    public byte[] encode() throws IOException {
        CborWriter writer = new CborWriter();
        writer.startArray();
        writer.add(version, cluster, id);
        writer.text(name);
        StateCodec.writeMembership(writer, members);
        writer.endArray();
        return writer.end();
    }

    /** Decodes a hello. One of another version is rejected before its other fields are read. */
    public static Hello decode(byte[] bytes) throws IOException {
        CborReader reader = new CborReader(bytes, 0, bytes.length);
        reader.startArray();
        long version = reader.number();
        if (version != Frames.VERSION) {
            throw new Frames.InvalidFrameException(
                    "version",
                    "expected protocol version " + Frames.VERSION + ", got version " + version);
        }
        long cluster = reader.number();
        long id = reader.number();
        String name = reader.text();
        Hello hello = new Hello(version, cluster, id, name, StateCodec.readMembership(reader));
        reader.end();
        return hello;
    }
}
