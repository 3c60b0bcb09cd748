package io.stackhall.server.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The one folder under which a process keeps its files; locked while the process runs. */
public final class DataFolder implements Closeable {

    private static final Logger logger = LogManager.getLogger(DataFolder.class);

    private static final String LOCK_FILE = "lock";

    private final Path path;
    private final FileChannel lock;

    private DataFolder(Path path, FileChannel lock) {
        this.path = path;
        this.lock = lock;
    }

    /**
     * Opens a folder, creating it where it is missing.
     *
     * @throws IOException if it cannot be written, or another process holds it
     */
    public static DataFolder open(Path path) throws IOException {
        Files.createDirectories(path);
        keepPrivate(path);
        FileChannel channel =
                FileChannel.open(
                        path.resolve(LOCK_FILE),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        try {
            if (channel.tryLock() != null) {
                return new DataFolder(path, channel);
            }
        } catch (OverlappingFileLockException e) {
            channel.close();
            throw new IOException("data folder " + path + " is open in this process already", e);
        }
        channel.close();
        throw new IOException("data folder " + path + " is held by another process");
    }

    /** The configuration holds customers' keys. Storage without owners is left as it is. */
    private static void keepPrivate(Path folder) {
        try {
            Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwx------"));
        } catch (IOException | UnsupportedOperationException e) {
            logger.warn("storage.not-private folder={} {}", folder, e.toString());
        }
    }

    /** Returns a path within the folder. */
    public Path resolve(String name) {
        return path.resolve(name);
    }

    /**
     * Opens a folder below this one, creating it where it is missing. The names of all folders on
     * the way last from now on: a loss of power would take what is synced in a folder along with
     * its name. They are synced also if they exist, as an earlier process may have ended before.
     */
    public Path openFolder(String... names) throws IOException {
        Path folder = path;
        for (String name : names) {
            Path parent = folder;
            folder = parent.resolve(name);
            Files.createDirectories(folder);
            syncFolder(parent);
        }
        return folder;
    }

    /** Replaces a file so that after a crash either the old or the new one is there, whole. */
    public static void replace(Path file, byte[] bytes) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".tmp");
        try (FileChannel channel =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
            channel.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        syncFolder(file.toAbsolutePath().getParent());
    }

    /** Makes the names in a folder last. */
    public static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        lock.close();
    }
}
