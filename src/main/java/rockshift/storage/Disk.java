package rockshift.storage;

import java.io.IOException;
import java.util.List;

/**
 * One folder of files. What was not synced may be gone, in part or whole, after a crash; a rename
 * happens whole or not at all. One thread uses it.
 */
public interface Disk {
    /** The names of all files, sorted. */
    List<String> list() throws IOException;

    /** All bytes of a file. */
    byte[] read(String name) throws IOException;

    /**
     * Appends to a file, which is created if it does not exist.
     *
     * @return its size, as the disk reports it
     */
    long append(String name, byte[] bytes) throws IOException;

    /** Makes durable that a file exists and what it holds. */
    void sync(String name) throws IOException;

    /** Cuts a file to a size, durably. */
    void truncate(String name, long size) throws IOException;

    /** Puts one file in the place of another, durably. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file, durably, if it exists. */
    void delete(String name) throws IOException;
}
