package io.stackhall.server.gateway;

import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.stackhall.core.route.CallerLimits;

/**
 * Decodes callers' requests. Rejects a request with both a length and a chunked encoding, whose end
 * is ambiguous.
 */
final class RequestDecoder extends HttpRequestDecoder {

    private static final int MAX_CHUNK_BYTES = 64 << 10;

    RequestDecoder(CallerLimits limits) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(limits.maxHeaderBytes())
                        .setMaxHeaderSize(limits.maxHeaderBytes())
                        .setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        message.setDecoderResult(
                DecoderResult.failure(
                        new DecoderException("both a length and a chunked encoding")));
    }
}
