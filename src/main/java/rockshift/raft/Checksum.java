package rockshift.raft;

import java.util.zip.CRC32C;

/** The checksum of snapshots, records and frames: CRC32C. */
public final class Checksum {
    private Checksum() {}

    public static int of(byte[] bytes) {
        return of(bytes, 0, bytes.length);
    }

    public static int of(byte[] bytes, int from, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, from, length);
        return (int) sum.getValue();
    }
}
