package rockshift.storage;

import java.io.IOException;
import java.util.List;

/**
 * A folder of files. Data that was not synced may be lost, in part or as a whole, in a crash; a
 * rename is atomic. Must be used by a single thread.
 */
public interface Disk {
    /** Returns the names of all files, sorted. */
    List<String> list() throws IOException;

    /** Returns the content of a file. */
    byte[] read(String name) throws IOException;

    /**
     * Appends to a file, and creates it if it does not exist.
     *
     * @return the size of the file as reported by the disk
     */
    long append(String name, byte[] bytes) throws IOException;

    /** Makes the existence and the content of a file durable. */
    void sync(String name) throws IOException;

    /** Truncates a file to a size, durably. */
    void truncate(String name, long size) throws IOException;

    /** Renames a file, replacing any file of the new name, durably. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file, durably, if it exists. */
    void delete(String name) throws IOException;
}
