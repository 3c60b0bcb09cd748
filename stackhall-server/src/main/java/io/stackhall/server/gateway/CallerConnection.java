package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import io.stackhall.server.clock.BootClock;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One caller's connection: reads a request whole, has it relayed, writes its answer, then reads the
 * next. That the caller has left is noticed at once, since the connection is read all the time.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements AnswerWriter {

    private static final Logger logger = LogManager.getLogger(CallerConnection.class);

    /** Parts of later requests that are kept while one is relayed; beyond it reading stops. */
    private static final int MAX_BACKLOG = 64;

    private final Gateway gateway;
    private final Deque<Object> backlog = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private ByteArrayOutputStream body;
    private long headAt;
    private RelayedRequest relayed;
    private boolean keep;
    private boolean refused;
    private ScheduledFuture<?> patience;

    CallerConnection(Gateway gateway) {
        this.gateway = gateway;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        gateway.opened(this);
        await(gateway.limits().idleTimeout().toMillis(), this::rested);
    }

    /** Bytes of a request whose head is not whole yet have come. */
    void bytesArrived() {
        if (relayed == null && head == null && !refused) {
            await(gateway.limits().headerTimeout().toMillis(), this::headTooSlow);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        if (refused) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (relayed != null) {
            backlog.addLast(message);
            if (backlog.size() >= MAX_BACKLOG) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        take(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        refused = true;
        stopWaiting();
        backlog.forEach(ReferenceCountUtil::release);
        backlog.clear();
        gateway.closed(this);
        RelayedRequest left = relayed;
        relayed = null;
        if (left != null) {
            left.callerLeft();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ignored) {
        if (relayed != null) {
            relayed.writable(context.channel().isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        if (cause instanceof IOException) {
            logger.debug("caller.connection-failed {}", cause.toString());
        } else {
            logger.error("caller.connection-failed {}", cause.toString(), cause);
        }
        context.close();
    }

    /** Closes the connection if nothing is under way on it. */
    void closeIfResting() {
        if (relayed == null && head == null) {
            context.close();
        }
    }

    @Override
    public void writeAnswer(FullHttpResponse response) {
        boolean stays = keep && !gateway.draining();
        HttpUtil.setContentLength(response, response.content().readableBytes());
        mark(response, stays);
        relayed = null;
        if (stays) {
            context.writeAndFlush(response);
            next();
        } else {
            refused = true;
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void writeHead(HttpResponse response) {
        keep = keep && !gateway.draining();
        mark(response, keep);
        HttpUtil.setTransferEncodingChunked(response, true);
        context.write(response);
    }

    @Override
    public void writePart(ByteBuf bytes) {
        context.writeAndFlush(new DefaultHttpContent(bytes));
    }

    @Override
    public void end() {
        relayed = null;
        if (keep && !gateway.draining()) {
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            next();
        } else {
            refused = true;
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void abort() {
        relayed = null;
        refused = true;
        context.close();
    }

    private void take(Object message) {
        try {
            if (message instanceof HttpRequest request) {
                begin(request);
            }
            if (message instanceof HttpContent content && head != null) {
                add(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest request) {
        stopWaiting();
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            refuse(
                    cause instanceof TooLongHttpHeaderException
                            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                            : HttpResponseStatus.BAD_REQUEST,
                    String.valueOf(cause.getMessage()));
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > gateway.limits().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long");
            return;
        }
        head = request;
        headAt = BootClock.nanos();
        body = new ByteArrayOutputStream();
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
        await(gateway.limits().idleTimeout().toMillis(), this::bodyTooSlow);
    }

    private void add(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuse(HttpResponseStatus.BAD_REQUEST, "the body is broken");
            return;
        }
        try {
            content.content().readBytes(body, content.content().readableBytes());
        } catch (IOException e) {
            throw new UncheckedIOException("memory cannot fail to be written", e);
        }
        if (body.size() > gateway.limits().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long");
            return;
        }
        if (content instanceof LastHttpContent) {
            relay();
        }
    }

    private void relay() {
        stopWaiting();
        CallerRequest request =
                new CallerRequest(
                        head.method(), head.uri(), head.headers(), body.toByteArray(), headAt);
        keep = HttpUtil.isKeepAlive(head);
        head = null;
        body = null;
        relayed = new RelayedRequest(gateway, request, this);
        relayed.start();
    }

    /** Takes up what came while the last request was relayed. */
    private void next() {
        context.channel().config().setAutoRead(true);
        if (backlog.isEmpty()) {
            await(gateway.limits().idleTimeout().toMillis(), this::rested);
        }
        while (!backlog.isEmpty() && relayed == null && !refused) {
            take(backlog.pollFirst());
        }
    }

    private void refuse(HttpResponseStatus status, String reason) {
        logger.info("request.malformed status={} reason={}", status.code(), reason);
        head = null;
        refused = true;
        stopWaiting();
        FullHttpResponse response = Answers.failure(status, reason, "");
        mark(response, false);
        HttpUtil.setContentLength(response, response.content().readableBytes());
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private void headTooSlow() {
        refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the head did not arrive in time");
    }

    private void bodyTooSlow() {
        refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the body did not arrive in time");
    }

    private void rested() {
        refused = true;
        context.close();
    }

    private void await(long millis, Runnable then) {
        stopWaiting();
        patience = context.executor().schedule(then, millis, TimeUnit.MILLISECONDS);
    }

    private void stopWaiting() {
        if (patience != null) {
            patience.cancel(false);
            patience = null;
        }
    }

    private static void mark(HttpResponse response, boolean stays) {
        response.headers()
                .set(
                        HttpHeaderNames.CONNECTION,
                        stays ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
    }
}
