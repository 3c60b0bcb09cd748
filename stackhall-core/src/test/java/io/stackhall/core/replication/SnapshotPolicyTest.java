package io.stackhall.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against a log that outgrows a control host. Each configuration change contains the whole
 * configuration, and snapshots used to be taken only after 4,000 entries. With configurations of 40
 * kB that is 160 MB: more than the heap or disk of a control host holds, and all of it was read and
 * applied again at each start.
 */
class SnapshotPolicyTest {

    /** Total disk space of the smallest kind of control host. */
    private static final long DISK_BYTES = 128L << 20;

    private final SnapshotPolicy policy = new SnapshotPolicy();

    @Test
    void largeCommandsUseOnlyAFractionOfASmallDisk() {
        int size = 40 << 10;
        long maxLogBytes = 0;
        long snapshotBytes = 0;
        long logBytes = 0;
        int changes = 5000;
        for (int index = 1; index <= changes; index++) {
            policy.entryApplied(command(index, size));
            logBytes += size;
            maxLogBytes = Math.max(maxLogBytes, logBytes);
            if (policy.due()) {
                snapshotBytes += size;
                logBytes = 0;
                policy.snapshotTaken(snapshot(index, size));
            }
        }
        assertThat(maxLogBytes).isLessThan(DISK_BYTES / 50);
        assertThat(snapshotBytes).isLessThan(changes * (long) size / 4);
    }

    @Test
    void largeStateIsNotSavedForEachSmallCommand() {
        policy.snapshotTaken(snapshot(1, 10 << 20));
        for (int index = 2; index < 3000; index++) {
            policy.entryApplied(command(index, 1000));
            assertThat(policy.due()).isFalse();
        }
    }

    @Test
    void smallCommandsAreBoundedByEntryCount() {
        for (int index = 1; index < 4000; index++) {
            policy.entryApplied(command(index, 20));
            assertThat(policy.due()).isFalse();
        }
        policy.entryApplied(command(4000, 20));
        assertThat(policy.due()).isTrue();
    }

    private static Entry command(long index, int bytes) {
        return new Entry(1, index, new Payload.Command(new byte[bytes]));
    }

    private static Snapshot snapshot(long index, int bytes) {
        return new Snapshot(index, 1, Membership.empty(), new byte[bytes]);
    }
}
