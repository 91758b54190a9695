package rockshift.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * Atomic replacement of files: after a crash a file has its old or its new content, never a
 * mixture.
 */
final class AtomicFile {
    private static final String TEMPORARY_SUFFIX = ".new";

    private AtomicFile() {}

    /** Returns whether a file is left over from a replacement that a crash interrupted. */
    static boolean isTemporary(String name) {
        return name.endsWith(TEMPORARY_SUFFIX);
    }

    /** Writes the content to a temporary file, makes it durable and renames it to {@code name}. */
    static void replace(Disk disk, String name, byte[] bytes) throws IOException {
        String temporary = name + TEMPORARY_SUFFIX;
        disk.delete(temporary);
        if (disk.append(temporary, bytes) != bytes.length) {
            throw new ShortWriteException(temporary);
        }
        disk.sync(temporary);
        disk.rename(temporary, name);
    }

    /** Replaces a file with one that holds a single record. */
    static void replace(Disk disk, String name, RecordKind kind, byte[] payload)
            throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        StoredRecord.write(bytes, kind, payload);
        replace(disk, name, bytes.toByteArray());
    }
}
