package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.stackhall.core.route.RequestTarget;
import io.stackhall.core.route.RequestTargetParser;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * Decodes callers' requests. A head is held to the limit that is in force when it arrives, as a
 * connection outlives configurations. Rejects a request with both a length and a chunked encoding,
 * whose end is ambiguous. A whole URI as the target is replaced by its path, and its authority
 * takes the place of the Host header (RFC 9112, section 3.2.2).
 */
final class RequestDecoder extends HttpRequestDecoder {

    private static final int MAX_CHUNK_BYTES = 64 << 10;
    private static final int LINE_END_BYTES = 2;

    /**
     * An unfinished head may take this many times its limit: one for the first line, one for the
     * headers, and one for line ends.
     */
    private static final int MAX_UNFINISHED_HEADS = 3;

    private final IntSupplier maxHeaderBytes;
    private boolean inHead = true;
    private boolean rejected;
    private int headBytes;

    /**
     * Creates the decoder of one connection.
     *
     * @param maxHeaderBytes returns the maximum size of a head at present
     */
    RequestDecoder(IntSupplier maxHeaderBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(Integer.MAX_VALUE)
                        .setMaxHeaderSize(Integer.MAX_VALUE)
                        .setMaxChunkSize(MAX_CHUNK_BYTES));
        this.maxHeaderBytes = maxHeaderBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        if (rejected) {
            in.skipBytes(in.readableBytes());
            return;
        }
        int start = in.readerIndex();
        int decoded = out.size();
        super.decode(context, in, out);
        if (inHead) {
            headBytes += in.readerIndex() - start;
            checkHead(in, out, decoded);
            if (out.size() > decoded) {
                resolveTarget((HttpRequest) out.get(decoded));
            }
        }
        if (out.size() > decoded) {
            inHead = out.getLast() instanceof LastHttpContent;
            headBytes = 0;
        }
    }

    private void checkHead(ByteBuf in, List<Object> out, int decoded) {
        boolean complete = out.size() > decoded;
        long limit = maxHeaderBytes.getAsInt();
        boolean fits =
                complete
                        ? fits((HttpRequest) out.get(decoded), limit)
                        : headBytes + (long) in.readableBytes() <= limit * MAX_UNFINISHED_HEADS;
        if (fits) {
            return;
        }
        rejected = true;
        in.skipBytes(in.readableBytes());
        DecoderResult failure =
                DecoderResult.failure(new TooLongHttpHeaderException("the head is too long"));
        if (!complete) {
            out.add(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
        }
        ((HttpMessage) out.get(decoded)).setDecoderResult(failure);
    }

    /** Returns whether the first line and the headers, without line ends, each keep to a limit. */
    private boolean fits(HttpRequest request, long limit) {
        int line =
                request.method().name().length()
                        + request.uri().length()
                        + request.protocolVersion().text().length()
                        + 2;
        int lineEnds = LINE_END_BYTES * (request.headers().size() + 2);
        return line <= limit && headBytes - line - lineEnds <= limit;
    }

    private static void resolveTarget(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return;
        }
        switch (RequestTargetParser.parse(request.method().name(), request.uri())) {
            case RequestTarget.Plain() -> {
                // Names its host in the Host header, if at all.
            }
            case RequestTarget.Absolute(String authority, String path) -> {
                request.setUri(path);
                request.headers().set(HttpHeaderNames.HOST, authority);
            }
            case RequestTarget.OtherScheme() ->
                    request.setDecoderResult(DecoderResult.failure(new MisdirectedException()));
            case RequestTarget.Malformed() ->
                    request.setDecoderResult(
                            DecoderResult.failure(new DecoderException("the target is malformed")));
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        message.setDecoderResult(
                DecoderResult.failure(
                        new DecoderException("both a length and a chunked encoding")));
    }

    /** A request for a URI that is not served on a connection of this kind. */
    static final class MisdirectedException extends DecoderException {
        private static final long serialVersionUID = 1L;

        MisdirectedException() {
            super("the scheme of the target is not served here");
        }
    }
}
