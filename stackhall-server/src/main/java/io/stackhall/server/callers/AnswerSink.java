package io.stackhall.server.callers;

import java.io.IOException;

/** Where an answer goes as it comes. Every method throws if the caller has gone. */
public interface AnswerSink {

    /** Begins an answer that comes in pieces. */
    void begin(int status, String contentType) throws IOException;

    /** Passes on a piece; it returns once the caller can take more. */
    void write(byte[] bytes, int length) throws IOException;

    /** Gives a whole answer at once. */
    void respond(int status, String contentType, byte[] body) throws IOException;

    /** Returns a sink that takes everything and does nothing. */
    static AnswerSink discarding() {
        return new AnswerSink() {
            @Override
            public void begin(int status, String contentType) {
                // Nobody listens.
            }

            @Override
            public void write(byte[] bytes, int length) {
                // Nobody listens.
            }

            @Override
            public void respond(int status, String contentType, byte[] body) {
                // Nobody listens.
            }
        };
    }
}
