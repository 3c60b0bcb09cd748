package io.stackhall.server.callers;

import io.stackhall.core.outcome.StoredAnswer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Keeps a copy of an answer on its way to another sink, up to a bound. */
public final class AnswerRecorder implements AnswerSink {

    /** The largest body that is kept for whoever asks again, in bytes. */
    public static final int MAX_STORED_BYTES = 256 << 10;

    private final AnswerSink next;
    private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
    private int status;
    private String contentType = "";
    private boolean complete = true;
    private boolean callerGone;

    /** Creates a recorder in front of a sink. */
    public AnswerRecorder(AnswerSink next) {
        this.next = next;
    }

    /** Returns the answer as far as it was kept. */
    public StoredAnswer answer() {
        return new StoredAnswer(
                status, contentType, complete ? kept.toByteArray() : new byte[0], complete);
    }

    @Override
    public void begin(int newStatus, String newContentType) {
        status = newStatus;
        contentType = newContentType;
        forward(() -> next.begin(newStatus, newContentType));
    }

    @Override
    public void write(byte[] bytes, int length) {
        keep(bytes, length);
        forward(() -> next.write(bytes, length));
    }

    @Override
    public void respond(int newStatus, String newContentType, byte[] body) {
        status = newStatus;
        contentType = newContentType;
        keep(body, body.length);
        forward(() -> next.respond(newStatus, newContentType, body));
    }

    private void keep(byte[] bytes, int length) {
        complete = complete && kept.size() + length <= MAX_STORED_BYTES;
        if (complete) {
            kept.write(bytes, 0, length);
        }
    }

    /** A caller that goes does not end a run whose answer is kept. */
    private void forward(Step step) {
        if (callerGone) {
            return;
        }
        try {
            step.run();
        } catch (IOException e) {
            callerGone = true;
        }
    }

    /** A step towards the caller. */
    @FunctionalInterface
    private interface Step {
        void run() throws IOException;
    }
}
