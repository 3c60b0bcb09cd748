package io.stackhall.server.control;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * Collects the bodies of calls. A call whose body is too long is handed on as one that cannot be
 * read, so that it is refused in its turn.
 */
final class CallAggregator extends HttpObjectAggregator {

    CallAggregator(int maxBytes) {
        super(maxBytes, true);
    }

    /**
     * Tells a caller that asks for it to go on. A refusal would be written in front of the answers
     * to earlier calls; expectations that are not known are ignored, as callers have to reckon
     * with.
     */
    @Override
    protected Object newContinueResponse(HttpMessage call, int maxBytes, ChannelPipeline pipeline) {
        boolean goesOn =
                HttpUtil.is100ContinueExpected(call)
                        && HttpUtil.getContentLength(call, 0L) <= maxBytes;
        return goesOn ? super.newContinueResponse(call, maxBytes, pipeline) : null;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        HttpRequest head = (HttpRequest) oversized;
        FullHttpRequest refused =
                new DefaultFullHttpRequest(
                        head.protocolVersion(), head.method(), head.uri(), Unpooled.EMPTY_BUFFER);
        refused.headers().set(head.headers());
        if (HttpUtil.is100ContinueExpected(head)) {
            // Whether its body still comes cannot be told, nor where the next call begins.
            HttpUtil.setKeepAlive(refused, false);
        }
        refused.setDecoderResult(
                DecoderResult.failure(
                        new TooLongHttpContentException(
                                "more than " + maxContentLength() + " bytes")));
        context.fireChannelRead(refused);
    }
}
