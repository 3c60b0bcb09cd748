package io.stackhall.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Each change of the configuration carries all of it. Snapshots were taken after 4,000 entries, by
 * when configurations of 40 kB are 160 MB: more than a control host's heap or disk holds, and all
 * of it was read and applied again at each start.
 */
class SnapshotPaceTest {

    /** A control host of the smallest kind has this much disk for everything. */
    private static final long DISK_BYTES = 128L << 20;

    private final SnapshotPace pace = new SnapshotPace();

    @Test
    void manyLargeChangesStayWithinAFractionOfASmallDisk() {
        int size = 40 << 10;
        long most = 0;
        long written = 0;
        long behind = 0;
        int changes = 5000;
        for (int index = 1; index <= changes; index++) {
            pace.applied(command(index, size));
            behind += size;
            most = Math.max(most, behind);
            if (pace.due()) {
                written += size;
                behind = 0;
                pace.covered(snapshot(index, size));
            }
        }
        assertThat(most).isLessThan(DISK_BYTES / 50);
        assertThat(written).isLessThan(changes * (long) size / 4);
    }

    @Test
    void largeStateIsNotWrittenForEachSmallChange() {
        pace.covered(snapshot(1, 10 << 20));
        for (int index = 2; index < 3000; index++) {
            pace.applied(command(index, 1000));
            assertThat(pace.due()).isFalse();
        }
    }

    @Test
    void smallChangesAreBoundedByTheirNumber() {
        for (int index = 1; index < 4000; index++) {
            pace.applied(command(index, 20));
            assertThat(pace.due()).isFalse();
        }
        pace.applied(command(4000, 20));
        assertThat(pace.due()).isTrue();
    }

    private static Entry command(long index, int bytes) {
        return new Entry(1, index, new Payload.Command(new byte[bytes]));
    }

    private static Snapshot snapshot(long index, int bytes) {
        return new Snapshot(index, 1, Membership.empty(), new byte[bytes]);
    }
}
