package io.stackhall.server.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

/** Calls that wait behind one that is not answered yet. */
class CallSequencerTest {

    private static final int CALLS = 1000;

    private int depth;
    private int maxDepth;
    private int answered;

    // The stack of the event loop was full after some hundred, and the rest got no answer.
    @Test
    void waitingCallsAreProcessedWithinOneAnother() {
        EmbeddedChannel channel = new EmbeddedChannel(new CallSequencer(), new Api());
        for (int call = 0; call < CALLS; call++) {
            channel.writeInbound(call());
        }
        assertThat(answered).isZero();
        channel.writeOutbound(answer());
        assertThat(answered).isEqualTo(CALLS - 1);
        assertThat(maxDepth).isEqualTo(1);
    }

    private static FullHttpRequest call() {
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, "/x", Unpooled.EMPTY_BUFFER);
    }

    private static DefaultFullHttpResponse answer() {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
    }

    /** Answers each call but the first at once. */
    private final class Api extends ChannelInboundHandlerAdapter {
        private boolean firstSeen;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!firstSeen) {
                firstSeen = true;
                return;
            }
            depth++;
            maxDepth = Math.max(maxDepth, depth);
            answered++;
            context.writeAndFlush(answer());
            depth--;
        }
    }
}
