package rockshift.testkit;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import rockshift.storage.Disk;

/**
 * An in-memory disk. A crash may lose all or a suffix of the bytes of a file that were not synced,
 * and may corrupt one of the unsynced bytes that remain.
 */
final class SimulatedDisk implements Disk {
    /** Thrown when a crash interrupts an operation. */
    static final class Crashed extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private static final class File {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private int durable;
        private boolean listed;
    }

    private final Map<String, File> files = new TreeMap<>();
    private final RandomGenerator random;
    private boolean full;
    private boolean skipsSync;

    /** The number of operations until a crash; negative for none. */
    private int operationsUntilCrash = -1;

    SimulatedDisk(RandomGenerator random) {
        this.random = random;
    }

    boolean isFull() {
        return full;
    }

    /** Sets whether writes may fail from now on, possibly after a part of the bytes. */
    void setFull(boolean full) {
        this.full = full;
    }

    /** Sets whether syncs report success without making data durable. */
    void setSkipsSync(boolean skipsSync) {
        this.skipsSync = skipsSync;
    }

    /** Makes the disk crash after the given number of operations. */
    void crashAfter(int operations) {
        operationsUntilCrash = operations;
    }

    private void countOperation() throws IOException {
        if (operationsUntilCrash == 0) {
            throw new Crashed();
        }
        operationsUntilCrash -= operationsUntilCrash > 0 ? 1 : 0;
    }

    /** Reduces each file to what survives a crash. */
    void crash() {
        operationsUntilCrash = -1;
        full = false;
        files.values().removeIf(file -> !file.listed && random.nextBoolean());
        for (File file : files.values()) {
            byte[] all = file.bytes.toByteArray();
            int kept =
                    file.durable
                            + (all.length > file.durable
                                    ? random.nextInt(all.length - file.durable + 1)
                                    : 0);
            file.bytes.reset();
            file.bytes.writeBytes(Arrays.copyOf(all, kept));
            if (kept > file.durable && random.nextInt(3) == 0) {
                byte[] torn = file.bytes.toByteArray();
                torn[file.durable + random.nextInt(kept - file.durable)] ^= 0x55;
                file.bytes.reset();
                file.bytes.writeBytes(torn);
            }
            file.durable = file.bytes.size();
            file.listed = true;
        }
    }

    void wipe() {
        files.clear();
    }

    @Override
    public List<String> list() {
        return List.copyOf(files.keySet());
    }

    @Override
    public byte[] read(String name) throws IOException {
        return file(name).bytes.toByteArray();
    }

    private File file(String name) throws IOException {
        File file = files.get(name);
        if (file == null) {
            throw new IOException(name + ": no such file");
        }
        return file;
    }

    @Override
    public long append(String name, byte[] bytes) throws IOException {
        countOperation();
        File file = files.computeIfAbsent(name, absent -> new File());
        if (full) {
            file.bytes.write(bytes, 0, random.nextInt(bytes.length + 1));
            if (random.nextBoolean()) {
                throw new IOException(name + ": no space left");
            }
        } else {
            file.bytes.writeBytes(bytes);
        }
        return file.bytes.size();
    }

    @Override
    public void sync(String name) throws IOException {
        countOperation();
        if (full) {
            throw new IOException(name + ": no space left");
        }
        File file = file(name);
        file.listed = true;
        file.durable = skipsSync ? file.durable : file.bytes.size();
    }

    @Override
    public void truncate(String name, long size) throws IOException {
        countOperation();
        File file = file(name);
        byte[] kept = Arrays.copyOf(file.bytes.toByteArray(), (int) size);
        file.bytes.reset();
        file.bytes.writeBytes(kept);
        file.durable = Math.min(file.durable, kept.length);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        countOperation();
        File file = file(from);
        files.remove(from);
        file.listed = true;
        files.put(to, file);
    }

    @Override
    public void delete(String name) throws IOException {
        countOperation();
        files.remove(name);
    }
}
