package io.stackhall.server.standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Streams of events that are generated once and may be read again from an offset. */
final class StandInStreams {

    private static final long WAIT_MILLIS = 50;

    private final Map<String, Stream> streams = new ConcurrentHashMap<>();

    /** One stream as far as it has been generated. */
    static final class Stream {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private boolean ended;

        synchronized void add(String event) {
            bytes.writeBytes(event.getBytes(StandardCharsets.UTF_8));
            notifyAll();
        }

        synchronized void end() {
            ended = true;
            notifyAll();
        }

        /** Returns what there is behind an offset, empty at the end of the stream. */
        synchronized byte[] behind(int offset) throws InterruptedException {
            while (bytes.size() <= offset && !ended) {
                wait(WAIT_MILLIS);
            }
            byte[] all = bytes.toByteArray();
            return Arrays.copyOfRange(all, Math.min(offset, all.length), all.length);
        }
    }

    Stream create(String id) {
        Stream stream = new Stream();
        streams.put(id, stream);
        return stream;
    }

    Stream find(String id) {
        return streams.get(id);
    }

    void remove(String id) {
        streams.remove(id);
    }

    /** Copies a stream from an offset to its end. */
    static void copy(Stream stream, int from, OutputStream out)
            throws IOException, InterruptedException {
        int offset = from;
        while (true) {
            byte[] next = stream.behind(offset);
            if (next.length == 0) {
                return;
            }
            out.write(next);
            out.flush();
            offset += next.length;
        }
    }
}
