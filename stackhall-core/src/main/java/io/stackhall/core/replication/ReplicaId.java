package io.stackhall.core.replication;

import java.util.Comparator;
import java.util.Objects;

/**
 * Identifies a replica by its host and the incarnation of its state.
 *
 * <p>A durable replica stores its incarnation in its data folder. A replica without a disk draws a
 * new one at each start, so that after losing its state it is a different voter and cannot vote
 * twice in a term.
 *
 * @param host name of the host, not blank
 * @param incarnation random number drawn when the state was created, not zero
 */
public record ReplicaId(String host, long incarnation) implements Comparable<ReplicaId> {

    private static final Comparator<ReplicaId> ORDER =
            Comparator.comparing(ReplicaId::host).thenComparingLong(ReplicaId::incarnation);

    /** Validates the components. */
    public ReplicaId {
        Objects.requireNonNull(host, "host");
        if (host.isBlank()) {
            throw new IllegalArgumentException("a replica's host must not be blank");
        }
        if (incarnation == 0) {
            throw new IllegalArgumentException("incarnation of " + host + " must not be 0");
        }
    }

    @Override
    public int compareTo(ReplicaId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return host + "#" + Long.toHexString(incarnation);
    }
}
