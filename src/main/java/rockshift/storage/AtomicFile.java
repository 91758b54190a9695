package rockshift.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * Files that are replaced whole: after a crash the old or the new one is there, never a mixture.
 */
final class AtomicFile {
    private static final String TEMPORARY_SUFFIX = ".new";

    private AtomicFile() {}

    /** Whether a file is what a crash left of a replacement that was never made. */
    static boolean isTemporary(String name) {
        return name.endsWith(TEMPORARY_SUFFIX);
    }

    /** Writes a file beside the one of that name, makes it durable and renames it. */
    static void replace(Disk disk, String name, byte[] bytes) throws IOException {
        String temporary = name + TEMPORARY_SUFFIX;
        disk.delete(temporary);
        if (disk.append(temporary, bytes) != bytes.length) {
            throw new ShortWriteException(temporary);
        }
        disk.sync(temporary);
        disk.rename(temporary, name);
    }

    /** Replaces a file by one that holds a single record. */
    static void replace(Disk disk, String name, RecordKind kind, byte[] payload)
            throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        StoredRecord.write(bytes, kind, payload);
        replace(disk, name, bytes.toByteArray());
    }
}
