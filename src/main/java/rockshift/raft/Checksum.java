package rockshift.raft;

import java.util.zip.CRC32C;

/** The checksum of snapshots, of records on disk and of frames on the wire: CRC32C. */
public final class Checksum {
    private Checksum() {}

    /** The checksum of an array. */
    public static int of(byte[] bytes) {
        return of(bytes, 0, bytes.length);
    }

    /** The checksum of a part of an array. */
    public static int of(byte[] bytes, int from, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, from, length);
        return (int) sum.getValue();
    }
}
