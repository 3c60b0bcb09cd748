package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Writes the answer to one request to its caller's connection. */
interface AnswerWriter {

    /**
     * Reads from the caller's connection once more, and returns whether it is still open. A close
     * may have reached the socket that the event loop has not read yet. Nothing is read while
     * reading is paused.
     */
    boolean checkConnected();

    /** Writes a complete answer, head and body. */
    void writeAnswer(FullHttpResponse response);

    /** Writes the head of an answer whose body follows through {@link #writePart}. */
    void writeHead(HttpResponse head);

    /** Writes a part of the body; takes ownership of the buffer. */
    void writePart(ByteBuf bytes);

    /** Ends the body. */
    void end();

    /** Closes the connection, so that the caller sees the partial answer as truncated. */
    void abort();
}
