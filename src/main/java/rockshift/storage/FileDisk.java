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

/**
 * A {@link Disk} in the file system. The folder is locked against use by another process until the
 * disk is closed. Must be used by a single thread. The file that was written last is kept open, as
 * most writes go to the same segment.
 */
public final class FileDisk implements Disk, AutoCloseable {
    private static final String LOCK = "lock";

    private final Path folder;
    private final FileChannel lock;
    private String openFileName = "";
    private FileChannel openFile;

    /**
     * Locks the folder, and creates it if it does not exist.
     *
     * @throws FolderInUseException if the folder is already locked
     */
    public FileDisk(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        lock =
                FileChannel.open(
                        folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock acquired;
        try {
            acquired = lock.tryLock();
        } catch (OverlappingFileLockException alreadyLocked) {
            acquired = null;
        }
        if (acquired == null) {
            lock.close();
            throw new FolderInUseException(folder);
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
        if (!name.equals(openFileName) || openFile == null || !openFile.isOpen()) {
            closeOpenFile();
            openFile =
                    FileChannel.open(
                            folder.resolve(name),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.APPEND);
            openFileName = name;
        }
        return openFile;
    }

    private void closeOpenFile() throws IOException {
        if (openFile != null) {
            openFile.close();
            openFile = null;
        }
    }

    @Override
    public long append(String name, byte[] bytes) throws IOException {
        FileChannel channel = channel(name);
        for (ByteBuffer remaining = ByteBuffer.wrap(bytes); remaining.hasRemaining(); ) {
            channel.write(remaining);
        }
        return channel.size();
    }

    @Override
    public void sync(String name) throws IOException {
        channel(name).force(true);
    }

    /** Makes creations, renames and deletions of files durable. */
    private void syncFolder() throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    @Override
    public void truncate(String name, long size) throws IOException {
        closeOpenFile();
        try (FileChannel channel =
                FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
            channel.truncate(size);
            channel.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        closeOpenFile();
        Files.move(
                folder.resolve(from),
                folder.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        syncFolder();
    }

    @Override
    public void delete(String name) throws IOException {
        closeOpenFile();
        try {
            Files.delete(folder.resolve(name));
        } catch (NoSuchFileException alreadyDeleted) {
            return;
        }
        syncFolder();
    }

    @Override
    public void close() throws IOException {
        closeOpenFile();
        lock.close();
    }
}
