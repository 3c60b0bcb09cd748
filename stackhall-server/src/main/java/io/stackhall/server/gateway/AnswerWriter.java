package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Where the answer to one request goes. */
interface AnswerWriter {

    /** Writes a whole answer. */
    void writeAnswer(FullHttpResponse response);

    /** Writes the head of an answer whose body follows in parts. */
    void writeHead(HttpResponse head);

    /** Writes a part of the body; takes the buffer over. */
    void writePart(ByteBuf bytes);

    /** Ends the body. */
    void end();

    /** Breaks the connection off, so that what was written doesn't look complete. */
    void abort();
}
