package rockshift.storage;

import java.io.IOException;
import java.util.List;

/**
 * One folder of files. What was not synced may be gone, in part or whole, after a crash; a rename
 * is whole or not at all.
 */
public interface Disk {
    List<String> list() throws IOException;

    byte[] read(String name) throws IOException;

    /**
     * Adds bytes to the end of a file, making it if it is not there; answers its size by what the
     * disk says.
     */
    long append(String name, byte[] bytes) throws IOException;

    /** Makes durable what a file holds and that it is there. */
    void sync(String name) throws IOException;

    void cut(String name, long size) throws IOException;

    /** Puts one file in the place of another, durably. */
    void rename(String from, String to) throws IOException;

    void delete(String name) throws IOException;
}
