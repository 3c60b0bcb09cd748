package io.stackhall.server.fleet;

import com.google.protobuf.ByteString;
import io.stackhall.rpc.generated.fleet.RoutesUpdate;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Compresses configurations that are sent to entry hosts. A configuration of 200 models has about
 * 30 KB and is sent to each of a hundred hosts; compressed it has a sixth of that size.
 */
public final class RoutesCodec {

    /** Exceeds the size limit of calls that submit a configuration, so a larger body is invalid. */
    private static final int MAX_UNPACKED_BYTES = 64 << 20;

    private RoutesCodec() {}

    /** Returns a compressed configuration. */
    public static ByteString compress(ByteString body) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(compressed)) {
            body.writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return ByteString.copyFrom(compressed.toByteArray());
    }

    /** Returns whether an update holds a configuration, and not only its version. */
    public static boolean hasBody(RoutesUpdate update) {
        return !update.getBody().isEmpty() || !update.getPackedBody().isEmpty();
    }

    /**
     * Returns the configuration of an update, which is compressed, or uncompressed from earlier
     * versions.
     *
     * @throws IOException if it cannot be decompressed
     */
    public static byte[] body(RoutesUpdate update) throws IOException {
        return update.getPackedBody().isEmpty()
                ? update.getBody().toByteArray()
                : decompress(update.getPackedBody());
    }

    private static byte[] decompress(ByteString compressed) throws IOException {
        try (InflaterInputStream in =
                new InflaterInputStream(new ByteArrayInputStream(compressed.toByteArray()))) {
            byte[] body = in.readNBytes(MAX_UNPACKED_BYTES);
            if (in.read() >= 0) {
                throw new IOException(
                        "configuration has more than " + MAX_UNPACKED_BYTES + " bytes");
            }
            return body;
        }
    }
}
