package io.stackhall.server.callers;

import java.io.IOException;

/** Receives an answer as it arrives. Every method throws if the caller has disconnected. */
public interface AnswerSink {

    /** Begins an answer that is written in several parts. */
    void begin(int status, String contentType) throws IOException;

    /** Writes a part of the answer; blocks until the caller can receive more. */
    void write(byte[] bytes, int length) throws IOException;

    /** Writes a complete answer. */
    void respond(int status, String contentType, byte[] body) throws IOException;

    /** Returns a sink that discards the answer. */
    static AnswerSink discarding() {
        return new AnswerSink() {
            @Override
            public void begin(int status, String contentType) {
                // Discarded.
            }

            @Override
            public void write(byte[] bytes, int length) {
                // Discarded.
            }

            @Override
            public void respond(int status, String contentType, byte[] body) {
                // Discarded.
            }
        };
    }
}
