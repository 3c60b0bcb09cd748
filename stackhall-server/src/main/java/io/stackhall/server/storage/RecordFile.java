package io.stackhall.server.storage;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A file of records, each behind its length and two checksums: of the length, and of the content.
 *
 * <p>Records are gathered until the next sync and written at once, so that a loss of power leaves
 * sectors of one write at the most: whole, missing or cut short. A record at which a sector is
 * missing was never synced, and is cut off with all behind it. One with a wrong checksum and no
 * missing sector is damage, which is reported with its offset and not repaired.
 */
final class RecordFile implements Closeable {

    static final int HEADER_BYTES = 12;
    static final int MAX_RECORD_BYTES = 64 << 20;

    private static final int SECTOR_BYTES = 512;

    private final Path path;
    private final FileChannel channel;
    private final ByteArrayOutputStream unwritten = new ByteArrayOutputStream();

    private RecordFile(Path path, FileChannel channel) {
        this.path = path;
        this.channel = channel;
    }

    /** Opens a file for appending, creating it where it is missing. */
    static RecordFile append(Path path) throws IOException {
        FileChannel channel =
                FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        channel.position(channel.size());
        return new RecordFile(path, channel);
    }

    /**
     * Reads every record.
     *
     * @param cutTail whether a torn record at the end is cut off, rather than damage
     */
    static List<byte[]> readAll(Path path, boolean cutTail) throws IOException {
        byte[] bytes = Files.readAllBytes(path);
        List<byte[]> records = new ArrayList<>();
        int offset = 0;
        while (offset < bytes.length) {
            int length = wholeRecord(path, bytes, offset, cutTail);
            if (length < 0) {
                cut(path, offset);
                break;
            }
            byte[] content = new byte[length];
            System.arraycopy(bytes, offset + HEADER_BYTES, content, 0, length);
            records.add(content);
            offset += HEADER_BYTES + length;
        }
        return records;
    }

    /** Adds a record, which is written with the next sync. */
    void write(byte[] content) {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putInt(content.length);
        header.putInt(checksumOfLength(content.length));
        header.putInt(checksum(content, 0, content.length));
        unwritten.writeBytes(header.array());
        unwritten.writeBytes(content);
    }

    /** Writes what was added, and returns once it lasts. */
    void sync() throws IOException {
        flush();
        channel.force(false);
    }

    @Override
    public void close() throws IOException {
        try (channel) {
            flush();
        }
    }

    private void flush() throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(unwritten.toByteArray());
        unwritten.reset();
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }

    @Override
    public String toString() {
        return path.toString();
    }

    /** Returns the length of the record's content, or -1 where it is torn. */
    private static int wholeRecord(Path path, byte[] bytes, int offset, boolean cutTail)
            throws StorageException {
        int left = bytes.length - offset;
        if (left < HEADER_BYTES) {
            return torn(path, offset, cutTail);
        }
        ByteBuffer header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES);
        int length = header.getInt();
        if (header.getInt() != checksumOfLength(length)
                || length < 0
                || length > MAX_RECORD_BYTES) {
            return tornOrDamaged(path, bytes, offset, offset + HEADER_BYTES, cutTail);
        }
        if (left - HEADER_BYTES < length) {
            return torn(path, offset, cutTail);
        }
        int start = offset + HEADER_BYTES;
        if (header.getInt() != checksum(bytes, start, length)) {
            return tornOrDamaged(path, bytes, offset, start + length, cutTail);
        }
        return length;
    }

    private static int torn(Path path, int offset, boolean cutTail) throws StorageException {
        if (!cutTail) {
            throw new StorageException(path, offset, "a record is cut short before the last file");
        }
        return -1;
    }

    private static void cut(Path path, int offset) throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE)) {
            channel.truncate(offset);
            channel.force(true);
        }
    }

    private static int tornOrDamaged(Path path, byte[] bytes, int from, int to, boolean cutTail)
            throws StorageException {
        if (missesSector(bytes, from, to)) {
            return torn(path, from, cutTail);
        }
        throw new StorageException(path, from, "a record is damaged");
    }

    /**
     * Returns whether a sector at which some of the bytes lie was never written: it reads as zeros,
     * from where the record begins or to where the file ends.
     */
    private static boolean missesSector(byte[] bytes, int from, int to) {
        for (int start = from; start < to; start = nextSector(start)) {
            if (zeros(bytes, start, Math.min(nextSector(start), bytes.length))) {
                return true;
            }
        }
        return false;
    }

    private static int nextSector(int offset) {
        return offset - offset % SECTOR_BYTES + SECTOR_BYTES;
    }

    private static boolean zeros(byte[] bytes, int from, int to) {
        for (int at = from; at < to; at++) {
            if (bytes[at] != 0) {
                return false;
            }
        }
        return true;
    }

    private static int checksumOfLength(int length) {
        return checksum(ByteBuffer.allocate(Integer.BYTES).putInt(length).array(), 0, 4);
    }

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, offset, length);
        return (int) checksum.getValue();
    }
}
