package rockshift.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A folder of the file system, held by one process at a time. It must be used by one thread. */
public final class FileDisk implements Disk, AutoCloseable {
    private static final String LOCK = "lock";

    private final Path folder;
    private final FileChannel lock;
    private String openName = "";
    private FileChannel open;

    public FileDisk(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        lock =
                FileChannel.open(
                        folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock held;
        try {
            held = lock.tryLock();
        } catch (OverlappingFileLockException taken) {
            held = null;
        }
        if (held == null) {
            lock.close();
            throw new IOException(folder + " is in use by another process");
        }
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> !name.equals(LOCK))
                    .sorted()
                    .toList();
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    private FileChannel channel(String name) throws IOException {
        if (!name.equals(openName) || open == null || !open.isOpen()) {
            release();
            open =
                    FileChannel.open(
                            folder.resolve(name),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.APPEND);
            openName = name;
        }
        return open;
    }

    private void release() throws IOException {
        if (open != null) {
            open.close();
            open = null;
        }
    }

    @Override
    public long append(String name, byte[] bytes) throws IOException {
        FileChannel channel = channel(name);
        for (ByteBuffer rest = ByteBuffer.wrap(bytes); rest.hasRemaining(); ) {
            channel.write(rest);
        }
        return channel.size();
    }

    @Override
    public void sync(String name) throws IOException {
        channel(name).force(true);
    }

    /** Makes durable which files there are. */
    private void syncFolder() throws IOException {
        try (FileChannel self = FileChannel.open(folder, StandardOpenOption.READ)) {
            self.force(true);
        }
    }

    @Override
    public void cut(String name, long size) throws IOException {
        release();
        try (FileChannel channel =
                FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
            channel.truncate(size);
            channel.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        release();
        Files.move(
                folder.resolve(from),
                folder.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        syncFolder();
    }

    @Override
    public void delete(String name) throws IOException {
        release();
        try {
            Files.delete(folder.resolve(name));
        } catch (NoSuchFileException gone) {
            return;
        }
        syncFolder();
    }

    @Override
    public void close() throws IOException {
        release();
        lock.close();
    }
}
