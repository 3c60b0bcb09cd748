package io.stackhall.server.storage;

import io.stackhall.core.replication.Entry;
import io.stackhall.core.replication.HardState;
import io.stackhall.core.replication.SavedState;
import io.stackhall.core.replication.Snapshot;
import io.stackhall.server.json.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * Keeps a replica's state in a folder: an identity, a snapshot, and log segments.
 *
 * <p>The snapshot names the first segment that counts. A new segment is complete before a snapshot
 * refers to it, so that a crash between any two steps leaves a state that can be read.
 */
public final class DiskStorage implements ReplicaStorage {

    private static final String IDENTITY_FILE = "identity";
    private static final String SNAPSHOT_FILE = "snapshot";
    private static final String SEGMENT_PREFIX = "log-";
    private static final int HEXADECIMAL = 16;

    private final Path folder;
    private final long incarnation;
    private final long leastFreeBytes;
    private final List<Entry> entries = new ArrayList<>();
    private Snapshot snapshot;
    private HardState hardState = HardState.initial();
    private long segmentNumber;
    private RecordFile segment;

    private DiskStorage(Path folder, long incarnation, long leastFreeBytes) {
        this.folder = folder;
        this.incarnation = incarnation;
        this.leastFreeBytes = leastFreeBytes;
    }

    /** What the snapshot file holds. */
    record SavedSnapshot(Snapshot snapshot, long firstSegment) {}

    /** One record of a segment. */
    sealed interface LogRecord {
        /** The hard state from here on. */
        record Hard(HardState state) implements LogRecord {}

        /** An entry that takes the place of every one from its index on. */
        record Appended(Entry entry) implements LogRecord {}
    }

    /**
     * Opens a replica's folder, creating a new replica where it is empty.
     *
     * @param random draws the identity of a new replica
     * @param leastFreeBytes the free space below which there is no room for commands
     * @throws StorageException if the saved state is damaged
     */
    public static DiskStorage open(Path folder, RandomGenerator random, long leastFreeBytes)
            throws IOException {
        Files.createDirectories(folder);
        Path identity = folder.resolve(IDENTITY_FILE);
        if (!Files.exists(identity)) {
            if (hasFiles(folder)) {
                throw new StorageException(identity, 0, "missing beside files of a replica");
            }
            String drawn = Long.toUnsignedString(random.nextLong(1, Long.MAX_VALUE), HEXADECIMAL);
            DataFolder.replace(identity, drawn.getBytes(StandardCharsets.US_ASCII));
        }
        DiskStorage storage = new DiskStorage(folder, readIdentity(identity), leastFreeBytes);
        storage.load();
        return storage;
    }

    @Override
    public long incarnation() {
        return incarnation;
    }

    @Override
    public boolean durable() {
        return true;
    }

    @Override
    public SavedState saved() {
        return new SavedState(hardState, snapshot, entries);
    }

    @Override
    public void saveHardState(HardState state) throws IOException {
        hardState = state;
        write(new LogRecord.Hard(state));
    }

    @Override
    public void saveEntries(List<Entry> added) throws IOException {
        for (Entry entry : added) {
            keep(entry);
            write(new LogRecord.Appended(entry));
        }
    }

    @Override
    public void saveSnapshot(Snapshot next, boolean dropLog) throws IOException {
        if (dropLog) {
            entries.clear();
        } else {
            entries.removeIf(entry -> entry.index() <= next.lastIndex());
        }
        snapshot = next;
        startSegment(segmentNumber + 1);
        SavedSnapshot saved = new SavedSnapshot(next, segmentNumber);
        Path temporary = folder.resolve(SNAPSHOT_FILE + ".new");
        Files.deleteIfExists(temporary);
        try (RecordFile file = RecordFile.append(temporary)) {
            file.write(Json.write(SavedSnapshot.class, saved));
            file.sync();
        }
        Files.move(temporary, folder.resolve(SNAPSHOT_FILE), StandardCopyOption.ATOMIC_MOVE);
        DataFolder.syncFolder(folder);
        deleteSegmentsBefore(segmentNumber);
    }

    @Override
    public void sync() throws IOException {
        segment.sync();
    }

    @Override
    public boolean hasRoom() {
        try {
            return Files.getFileStore(folder).getUsableSpace() > leastFreeBytes;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        segment.close();
    }

    private void load() throws IOException {
        SavedSnapshot saved = readSnapshot();
        snapshot = saved.snapshot();
        NavigableMap<Long, Path> segments = segments();
        segments.headMap(saved.firstSegment(), false).clear();
        for (var each : segments.entrySet()) {
            boolean last = each.getKey().equals(segments.lastKey());
            replay(each.getValue(), last);
        }
        entries.removeIf(entry -> entry.index() <= snapshot.lastIndex());
        checkGaps();
        segmentNumber = segments.isEmpty() ? saved.firstSegment() : segments.lastKey();
        segment = RecordFile.append(segmentPath(segmentNumber));
        DataFolder.syncFolder(folder);
    }

    private void replay(Path path, boolean last) throws IOException {
        for (byte[] bytes : RecordFile.readAll(path, last)) {
            switch (Json.read(LogRecord.class, bytes)) {
                case LogRecord.Hard(HardState state) -> hardState = state;
                case LogRecord.Appended(Entry entry) -> keep(entry);
            }
        }
    }

    private void checkGaps() throws IOException {
        long expected = snapshot.lastIndex() + 1;
        for (Entry entry : entries) {
            if (entry.index() != expected) {
                throw new StorageException(
                        folder, 0, "entry " + expected + " is missing before " + entry.index());
            }
            expected++;
        }
    }

    private void keep(Entry entry) {
        while (!entries.isEmpty() && entries.getLast().index() >= entry.index()) {
            entries.removeLast();
        }
        entries.add(entry);
    }

    private void write(LogRecord record) throws IOException {
        segment.write(Json.write(LogRecord.class, record));
    }

    /** Only the last segment may end in what was never synced. */
    private void startSegment(long number) throws IOException {
        segment.sync();
        segment.close();
        Path path = segmentPath(number);
        Files.deleteIfExists(path);
        segment = RecordFile.append(path);
        segmentNumber = number;
        write(new LogRecord.Hard(hardState));
        for (Entry entry : entries) {
            write(new LogRecord.Appended(entry));
        }
        segment.sync();
        DataFolder.syncFolder(folder);
    }

    private SavedSnapshot readSnapshot() throws IOException {
        Path path = folder.resolve(SNAPSHOT_FILE);
        if (!Files.exists(path)) {
            return new SavedSnapshot(Snapshot.empty(), 1);
        }
        List<byte[]> records = RecordFile.readAll(path, false);
        if (records.size() != 1) {
            throw new StorageException(path, 0, "holds " + records.size() + " records, not one");
        }
        return Json.read(SavedSnapshot.class, records.getFirst());
    }

    private void deleteSegmentsBefore(long number) throws IOException {
        for (Path old : segments().headMap(number, false).values()) {
            Files.delete(old);
        }
    }

    private NavigableMap<Long, Path> segments() throws IOException {
        NavigableMap<Long, Path> found = new TreeMap<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                segmentNumber(file).ifPresent(number -> found.put(number, file));
            }
        }
        return found;
    }

    private Path segmentPath(long number) {
        return folder.resolve(SEGMENT_PREFIX + number);
    }

    private static Optional<Long> segmentNumber(Path file) {
        String name = file.getFileName().toString();
        return name.matches(SEGMENT_PREFIX + "\\d{1,18}")
                ? Optional.of(Long.parseLong(name.substring(SEGMENT_PREFIX.length())))
                : Optional.empty();
    }

    private static boolean hasFiles(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.anyMatch(file -> !file.toString().endsWith(".tmp"));
        }
    }

    private static long readIdentity(Path file) throws IOException {
        String text = Files.readString(file, StandardCharsets.US_ASCII);
        try {
            return Long.parseUnsignedLong(text, HEXADECIMAL);
        } catch (NumberFormatException e) {
            throw new StorageException(file, 0, "'" + text + "' is not an identity");
        }
    }
}
