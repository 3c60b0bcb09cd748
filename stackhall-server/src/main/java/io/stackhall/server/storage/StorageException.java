package io.stackhall.server.storage;

import java.io.IOException;
import java.nio.file.Path;

/** Saved state that cannot be trusted: the process must not start on it. */
public final class StorageException extends IOException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception that names the file and the offset of the damage. */
    public StorageException(Path file, long offset, String problem) {
        super(file + " at offset " + offset + ": " + problem);
    }
}
