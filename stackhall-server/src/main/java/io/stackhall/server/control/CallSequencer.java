package io.stackhall.server.control;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Hands the calls of one connection on one at a time, so that their answers come in their order: a
 * caller tells an answer by its place alone, while some calls are answered once the group has
 * committed and others at once.
 */
final class CallSequencer extends ChannelDuplexHandler {

    /** Beyond as many waiting calls, the connection is not read. */
    private static final int MAX_WAITING = 8;

    private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();
    private boolean unanswered;
    private boolean handingOn;
    private boolean closing;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
        } else if (unanswered && message instanceof FullHttpRequest call) {
            waiting.addLast(call);
            context.channel().config().setAutoRead(waiting.size() < MAX_WAITING);
        } else {
            unanswered = true;
            context.fireChannelRead(message);
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        closing |= message instanceof FullHttpResponse answer && !HttpUtil.isKeepAlive(answer);
        context.write(message, promise);
        if (closing) {
            releaseWaiting();
            return;
        }
        unanswered = false;
        context.channel().config().setAutoRead(true);
        handOnWaiting(context);
    }

    /** An answer that is written at once comes from within the processing of its call. */
    private void handOnWaiting(ChannelHandlerContext context) {
        if (handingOn) {
            return;
        }
        handingOn = true;
        try {
            while (!unanswered && !waiting.isEmpty()) {
                unanswered = true;
                context.fireChannelRead(waiting.pollFirst());
            }
        } finally {
            handingOn = false;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        releaseWaiting();
        context.fireChannelInactive();
    }

    private void releaseWaiting() {
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
    }
}
