package rockshift.raft;

import java.util.zip.CRC32C;

/** The CRC32C checksum of snapshots, records on disk and frames on the wire. */
public final class Checksum {
    private Checksum() {}

    /** Returns the checksum of an array. */
    public static int of(byte[] bytes) {
        return of(bytes, 0, bytes.length);
    }

    /** Returns the checksum of a part of an array. */
    public static int of(byte[] bytes, int from, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, from, length);
        return (int) sum.getValue();
    }
}
