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
 * Packs configurations on their way to entry hosts. One of 200 models has some 30 KB and goes to
 * each of a hundred hosts; packed it has a sixth of that.
 */
public final class RoutesCodec {

    /** More than any call with a configuration may have; more than this is no configuration. */
    private static final int MAX_UNPACKED_BYTES = 64 << 20;

    private RoutesCodec() {}

    /** Returns a configuration packed. */
    public static ByteString compress(ByteString body) {
        ByteArrayOutputStream packed = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(packed)) {
            body.writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException("memory cannot fail to be written", e);
        }
        return ByteString.copyFrom(packed.toByteArray());
    }

    /**
     * Returns the configuration that an update brings, packed or as earlier versions send it.
     *
     * @throws IOException if it cannot be unpacked
     */
    public static byte[] body(RoutesUpdate update) throws IOException {
        return update.getPackedBody().isEmpty()
                ? update.getBody().toByteArray()
                : decompress(update.getPackedBody());
    }

    private static byte[] decompress(ByteString packed) throws IOException {
        try (InflaterInputStream in =
                new InflaterInputStream(new ByteArrayInputStream(packed.toByteArray()))) {
            byte[] body = in.readNBytes(MAX_UNPACKED_BYTES);
            if (in.read() >= 0) {
                throw new IOException("more than " + MAX_UNPACKED_BYTES + " bytes");
            }
            return body;
        }
    }
}
