package io.stackhall.server.training;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import io.stackhall.platform.TrainingMessages;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/** A caller of a warm-up: sends one request of each kind on a connection, one after another. */
final class WarmUpCaller extends SimpleChannelInboundHandler<HttpObject> {

    private static final int ANSWER_TIMEOUT_SECONDS = 5;

    private final Listener listener;
    private final Queue<String> requests;
    private ScheduledFuture<?> timeout;
    private boolean finished;

    /** Hears of the requests of a caller. */
    interface Listener {

        /** Called when a request has been answered. */
        void answered();

        /** Called when all requests have been answered. */
        void finished();

        /** Called when something has failed. */
        void failed(Throwable cause);
    }

    /**
     * Creates a caller.
     *
     * @param round distinguishes the ids of its requests from those of others
     */
    WarmUpCaller(int round, Listener listener) {
        this.listener = listener;
        this.requests = new ArrayDeque<>(requests(round));
    }

    private static List<String> requests(int round) {
        return List.of(
                TrainingCalls.keptGet(
                        TrainingMessages.PLAIN_TARGET,
                        TrainingMessages.plainHeaders("plain-" + round)),
                TrainingCalls.keptGet(
                        TrainingMessages.STREAM_TARGET,
                        TrainingMessages.modelHeaders("stream-" + round)),
                TrainingCalls.keptGet(
                        TrainingMessages.PLAIN_TARGET,
                        TrainingMessages.deniedHeaders("refused-" + round)));
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        timeout =
                context.executor()
                        .schedule(() -> timeOut(context), ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        sendNext(context);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message instanceof LastHttpContent) {
            listener.answered();
            sendNext(context);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(new IOException("the connection was closed before the answer"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(cause);
        context.close();
    }

    private void sendNext(ChannelHandlerContext context) {
        String request = requests.poll();
        if (request == null) {
            finished = true;
            timeout.cancel(false);
            context.close();
            listener.finished();
            return;
        }
        context.writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
    }

    private void timeOut(ChannelHandlerContext context) {
        if (!finished) {
            fail(new IOException("no answer within " + ANSWER_TIMEOUT_SECONDS + " s"));
            context.close();
        }
    }

    private void fail(Throwable cause) {
        if (!finished) {
            finished = true;
            listener.failed(cause);
        }
    }
}
