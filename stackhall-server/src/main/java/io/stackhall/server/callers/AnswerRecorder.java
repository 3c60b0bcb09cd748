package io.stackhall.server.callers;

import io.stackhall.core.outcome.StoredAnswer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * Forwards an answer to another sink and records a copy of limited size. Failures of the other sink
 * are not reported: recording goes on after the caller has disconnected.
 */
public final class AnswerRecorder implements AnswerSink {

    /** The largest body that is stored for repetitions of a request, in bytes. */
    public static final int MAX_STORED_BYTES = 256 << 10;

    private final AnswerSink next;
    private final ByteArrayOutputStream recorded = new ByteArrayOutputStream();
    private int status;
    private String contentType = "";
    private boolean complete = true;
    private boolean callerGone;

    /** Creates a recorder that forwards to a sink. */
    public AnswerRecorder(AnswerSink next) {
        this.next = next;
    }

    /** Returns the recorded answer, with an empty body if it was larger than the limit. */
    public StoredAnswer answer() {
        return new StoredAnswer(
                status, contentType, complete ? recorded.toByteArray() : new byte[0], complete);
    }

    @Override
    public void begin(int newStatus, String newContentType) {
        status = newStatus;
        contentType = newContentType;
        forward(() -> next.begin(newStatus, newContentType));
    }

    @Override
    public void write(byte[] bytes, int length) {
        record(bytes, length);
        forward(() -> next.write(bytes, length));
    }

    @Override
    public void respond(int newStatus, String newContentType, byte[] body) {
        status = newStatus;
        contentType = newContentType;
        record(body, body.length);
        forward(() -> next.respond(newStatus, newContentType, body));
    }

    private void record(byte[] bytes, int length) {
        complete = complete && recorded.size() + length <= MAX_STORED_BYTES;
        if (complete) {
            recorded.write(bytes, 0, length);
        }
    }

    /** A caller that disconnects does not stop a run whose answer is stored. */
    private void forward(CallerWrite write) {
        if (callerGone) {
            return;
        }
        try {
            write.run();
        } catch (IOException e) {
            callerGone = true;
        }
    }

    /** Writes to the caller. */
    @FunctionalInterface
    private interface CallerWrite {
        void run() throws IOException;
    }
}
