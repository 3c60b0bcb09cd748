package io.stackhall.server.storage;

import java.io.IOException;

/** Opens what a replica has saved, at its start and again after its storage has failed. */
@FunctionalInterface
public interface StorageOpener {

    /**
     * Opens the storage and reads it.
     *
     * @throws IOException if it cannot be read, or is damaged
     */
    ReplicaStorage open() throws IOException;
}
