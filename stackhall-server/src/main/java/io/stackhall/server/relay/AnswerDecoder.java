package io.stackhall.server.relay;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers, with bounds on their heads. */
final class AnswerDecoder extends HttpResponseDecoder {

    private static final int MAX_LINE_BYTES = 4096;
    private static final int MAX_HEAD_BYTES = 32 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    AnswerDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEAD_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES));
    }
}
