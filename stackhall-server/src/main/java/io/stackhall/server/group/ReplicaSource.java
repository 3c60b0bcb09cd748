package io.stackhall.server.group;

import io.stackhall.core.replication.Replica;
import io.stackhall.core.replication.ReplicaId;
import io.stackhall.core.replication.ReplicaSettings;
import io.stackhall.server.storage.ReplicaStorage;
import io.stackhall.server.storage.StorageOpener;
import java.io.IOException;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Makes a replica from what was saved, at the start and again after the storage has failed. */
final class ReplicaSource {

    private final String host;
    private final Set<String> members;
    private final ReplicaSettings settings;
    private final StorageOpener opener;
    private final RandomGenerator random;
    private ReplicaStorage storage;

    ReplicaSource(
            String host,
            Set<String> members,
            ReplicaSettings settings,
            StorageOpener opener,
            RandomGenerator random)
            throws IOException {
        this.host = host;
        this.members = Set.copyOf(members);
        this.settings = settings;
        this.opener = opener;
        this.random = random;
        this.storage = opener.open();
    }

    ReplicaStorage storage() {
        return storage;
    }

    /**
     * Returns a replica that knows what was saved.
     *
     * @param aliveSince it has granted no lease after this, on the monotonic clock in nanoseconds
     */
    Replica replica(long aliveSince) {
        return new Replica(
                new ReplicaId(host, storage.incarnation()),
                storage.durable(),
                members,
                settings,
                random,
                storage.saved(),
                aliveSince);
    }

    /**
     * Opens the storage again. After a failed sync, what is read back may not be on the disk, so
     * that all of it is written anew first.
     *
     * @throws IOException if it still cannot be read or written
     */
    void reopen() throws IOException {
        storage.close();
        storage = opener.open();
        storage.saveSnapshot(storage.saved().snapshot(), false);
    }
}
