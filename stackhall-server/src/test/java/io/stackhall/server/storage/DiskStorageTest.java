package io.stackhall.server.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.stackhall.core.replication.Entry;
import io.stackhall.core.replication.HardState;
import io.stackhall.core.replication.Membership;
import io.stackhall.core.replication.Payload;
import io.stackhall.core.replication.ReplicaId;
import io.stackhall.core.replication.SavedState;
import io.stackhall.core.replication.Snapshot;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a replica's folder holds after any crash, and what it refuses. */
class DiskStorageTest {

    private static final HardState STATE = new HardState(5, 3, Optional.of(new ReplicaId("a", 1)));

    @TempDir Path folder;

    @Test
    void savedStateIsThereAgainWithTheSameIdentity() throws IOException {
        long incarnation;
        try (DiskStorage storage = open()) {
            incarnation = storage.incarnation();
            storage.saveHardState(STATE);
            storage.saveEntries(List.of(entry(1, 1), entry(1, 2), entry(1, 3)));
            storage.saveEntries(List.of(entry(2, 2)));
            storage.sync();
        }
        try (DiskStorage storage = open()) {
            assertThat(storage.incarnation()).isEqualTo(incarnation);
            assertThat(storage.saved().hardState()).isEqualTo(STATE);
            assertThat(storage.saved().entries()).containsExactly(entry(1, 1), entry(2, 2));
        }
    }

    @Test
    void emptiedFolderIsANewReplica() throws IOException {
        long before;
        try (DiskStorage storage = open()) {
            before = storage.incarnation();
        }
        for (Path file : files()) {
            Files.delete(file);
        }
        try (DiskStorage storage = open()) {
            assertThat(storage.incarnation()).isNotEqualTo(before);
        }
    }

    @Test
    void lostIdentityBesideOtherFilesIsRefused() throws IOException {
        open().close();
        Files.delete(folder.resolve("identity"));
        assertThatThrownBy(this::open)
                .isInstanceOf(StorageException.class)
                .hasMessageContaining("identity");
    }

    @Test
    void snapshotCutsTheLogAndOldSegmentsGo() throws IOException {
        try (DiskStorage storage = open()) {
            storage.saveHardState(STATE);
            storage.saveEntries(List.of(entry(1, 1), entry(1, 2), entry(1, 3)));
            storage.saveSnapshot(snapshot(2), false);
            storage.saveEntries(List.of(entry(1, 4)));
            storage.sync();
        }
        try (DiskStorage storage = open()) {
            SavedState saved = storage.saved();
            assertThat(saved.hardState()).isEqualTo(STATE);
            assertThat(saved.snapshot().lastIndex()).isEqualTo(2);
            assertThat(saved.entries()).containsExactly(entry(1, 3), entry(1, 4));
            assertThat(files())
                    .extracting(file -> file.getFileName().toString())
                    .doesNotContain("log-1");
        }
    }

    @Test
    void snapshotOfALeaderReplacesAConflictingLog() throws IOException {
        try (DiskStorage storage = open()) {
            storage.saveEntries(List.of(entry(1, 1), entry(1, 2), entry(1, 3)));
            storage.saveSnapshot(snapshot(2), true);
        }
        try (DiskStorage storage = open()) {
            assertThat(storage.saved().entries()).isEmpty();
        }
    }

    @Test
    void recordTornAtAnyByteIsCutAndEverythingBeforeItIsKept() throws IOException {
        long before = writeTwoRecords();
        byte[] whole = Files.readAllBytes(log());
        for (int length = (int) before; length < whole.length; length++) {
            Files.write(log(), Arrays.copyOf(whole, length));
            try (DiskStorage storage = open()) {
                assertThat(storage.saved().entries())
                        .as("torn at %d", length)
                        .containsExactly(entry(1, 1));
            }
            assertThat(Files.size(log())).isEqualTo(before);
        }
    }

    @Test
    void bitFlippedAtAnyByteIsRefusedWithFileAndOffset() throws IOException {
        long before = writeTwoRecords();
        byte[] whole = Files.readAllBytes(log());
        for (int at = (int) before; at < whole.length; at++) {
            byte[] damaged = whole.clone();
            damaged[at] ^= 0x10;
            Files.write(log(), damaged);
            assertThatThrownBy(this::open)
                    .as("flipped at %d", at)
                    .isInstanceOf(StorageException.class)
                    .hasMessageContaining("log-1")
                    .hasMessageContaining("offset " + before);
        }
    }

    @Test
    void tailOfZerosThatAnUnsyncedWriteLeftIsCut() throws IOException {
        long before = writeTwoRecords();
        byte[] whole = Files.readAllBytes(log());
        Arrays.fill(whole, (int) before, whole.length, (byte) 0);
        Files.write(log(), whole);
        try (DiskStorage storage = open()) {
            assertThat(storage.saved().entries()).containsExactly(entry(1, 1));
        }
    }

    /**
     * A loss of power left the second of two writes after the last sync, and not the first. The
     * host took the hole for damage to what had been synced, and ended at each of its starts: "the
     * length of a record is damaged".
     */
    @Test
    void writeThatIsMissingBeforeOneThatIsThereIsCut() throws IOException {
        long before;
        try (DiskStorage storage = open()) {
            storage.saveEntries(List.of(entry(1, 1)));
            storage.sync();
            before = Files.size(log());
            storage.saveEntries(List.of(largeEntry(2), largeEntry(3)));
        }
        byte[] whole = Files.readAllBytes(log());
        int second = (int) (before + (whole.length - before) / 2);
        Arrays.fill(whole, (int) before, second, (byte) 0);
        Files.write(log(), whole);
        try (DiskStorage storage = open()) {
            assertThat(storage.saved().entries()).containsExactly(entry(1, 1));
        }
    }

    /** Records of less than a sector could otherwise be missing one by one. */
    @Test
    void recordsBetweenTwoSyncsAreOneWrite() throws IOException {
        try (DiskStorage storage = open()) {
            storage.saveHardState(STATE);
            storage.sync();
            long before = Files.size(log());
            storage.saveEntries(List.of(entry(1, 1)));
            storage.saveEntries(List.of(entry(1, 2)));
            assertThat(Files.size(log())).isEqualTo(before);
            storage.sync();
            assertThat(Files.size(log())).isGreaterThan(before);
        }
    }

    @Test
    void folderIsHeldByOneProcessAtATime() throws IOException {
        try (DataFolder held = DataFolder.open(folder)) {
            assertThat(held.resolve("x")).isEqualTo(folder.resolve("x"));
            assertThatThrownBy(() -> DataFolder.open(folder))
                    .isInstanceOf(IOException.class)
                    .hasMessageContaining(folder.toString());
        }
        DataFolder.open(folder).close();
    }

    /** Returns where the second record begins. */
    private long writeTwoRecords() throws IOException {
        try (DiskStorage storage = open()) {
            storage.saveEntries(List.of(entry(1, 1)));
            storage.sync();
            long size = Files.size(log());
            storage.saveEntries(List.of(entry(1, 2)));
            storage.sync();
            return size;
        }
    }

    private DiskStorage open() throws IOException {
        return DiskStorage.open(folder, new Random(), 0);
    }

    private Path log() {
        return folder.resolve("log-1");
    }

    private List<Path> files() throws IOException {
        try (var files = Files.list(folder)) {
            return files.toList();
        }
    }

    private static Snapshot snapshot(long index) {
        ReplicaId replica = new ReplicaId("a", 1);
        Membership membership = new Membership(List.of(replica), List.of());
        return new Snapshot(index, 1, membership, new byte[] {1, 2});
    }

    private static Entry largeEntry(long index) {
        byte[] command = new byte[3000];
        Arrays.fill(command, (byte) 7);
        return new Entry(1, index, new Payload.Command(command));
    }

    private static Entry entry(long term, long index) {
        byte[] command = ("command " + index).getBytes(StandardCharsets.UTF_8);
        return new Entry(term, index, new Payload.Command(command));
    }
}
