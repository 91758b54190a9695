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
 * A folder in memory whose crashes lose what was not synced, in whole or from some byte on, perhaps
 * garbled.
 */
final class SimulatedDisk implements Disk {
    /** A crash in the middle of what the disk was asked to do. */
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

    /** Operations until a crash, below 0 for none. */
    private int crashIn = -1;

    SimulatedDisk(RandomGenerator random) {
        this.random = random;
    }

    boolean isFull() {
        return full;
    }

    /** Whether writes fail from now on, perhaps in part. */
    void setFull(boolean full) {
        this.full = full;
    }

    /** Whether it reports syncs that it does not do. */
    void setSkipsSync(boolean skipsSync) {
        this.skipsSync = skipsSync;
    }

    /** Crashes in the middle of its work, after so many operations. */
    void crashAfter(int operations) {
        crashIn = operations;
    }

    private void countOperation() throws IOException {
        if (crashIn == 0) {
            throw new Crashed();
        }
        crashIn -= crashIn > 0 ? 1 : 0;
    }

    /** What is found after a crash. */
    void crash() {
        crashIn = -1;
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
