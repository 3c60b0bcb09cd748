package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import io.stackhall.core.route.CallerLimits;
import io.stackhall.server.clock.BootClock;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One caller's connection: reads a whole request, has it relayed, writes its answer, then continues
 * with the next request. The connection is read all the time, so that a disconnect of the caller is
 * noticed at once.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements AnswerWriter {

    private static final Logger logger = LogManager.getLogger(CallerConnection.class);

    /**
     * Maximum number of messages of pipelined requests that are buffered while a request is
     * relayed; beyond it reading stops.
     */
    private static final int MAX_BACKLOG = 64;

    /**
     * Maximum number of reads before a request is sent: a close may follow the bytes of further
     * requests, of which one read takes only a part.
     */
    private static final int MAX_FINAL_READS = 4;

    private final Gateway gateway;
    private final ResponseEncoder encoder;
    private final RejectionAnswers rejections;
    private final Deque<Object> backlog = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private ByteArrayOutputStream body;
    private long headReceivedAt;
    private RelayedRequest relayed;
    private boolean keepAlive;
    private boolean chunksAllowed;
    private boolean closing;
    private boolean reading;
    private boolean startPending;
    private boolean moreBytesReceived;
    private boolean processingBacklog;
    private CallerTimeout timeout;

    CallerConnection(Gateway gateway, ResponseEncoder encoder) {
        this.gateway = gateway;
        this.encoder = encoder;
        this.rejections = new RejectionAnswers(gateway);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        timeout = new CallerTimeout(added.executor(), gateway::callerLimits);
        gateway.connections().opened(this);
        timeout.start(CallerLimits::idleTimeout, this::closeIdle);
    }

    /** Called when bytes have arrived: restarts the header timeout while a head is incomplete. */
    void bytesReceived() {
        moreBytesReceived = true;
        if (relayed == null && head == null && !closing) {
            timeout.start(CallerLimits::headerTimeout, this::headTimedOut);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        reading = true;
        if (closing) {
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
        process(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ignored) {
        reading = false;
        if (startPending && relayed != null) {
            startPending = false;
            relayed.start();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        timeout.cancel();
        backlog.forEach(ReferenceCountUtil::release);
        backlog.clear();
        gateway.connections().closed(this);
        RelayedRequest abandoned = relayed;
        relayed = null;
        if (abandoned != null) {
            abandoned.callerDisconnected();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ignored) {
        if (relayed != null) {
            relayed.writabilityChanged(context.channel().isWritable());
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

    /** Closes the connection if no request is in progress on it, and none awaits a rejection. */
    void closeIfIdle() {
        if (relayed == null && head == null && !closing) {
            context.close();
        }
    }

    @Override
    public boolean checkConnected() {
        boolean mayRead = context.channel().config().isAutoRead();
        moreBytesReceived = mayRead;
        for (int reads = 0; moreBytesReceived && reads < MAX_FINAL_READS; reads++) {
            moreBytesReceived = false;
            ((AbstractNioChannel.NioUnsafe) context.channel().unsafe()).read();
        }
        return context.channel().isActive();
    }

    @Override
    public void writeAnswer(FullHttpResponse response) {
        boolean staysOpen = keepAlive && !gateway.connections().isDraining();
        boolean mayBeUnknown = Answers.hasNoBody(encoder.headRequested(), response.status());
        boolean lengthKnown = response.content().isReadable() || !mayBeUnknown;
        if (lengthKnown && !HttpUtil.isContentLengthSet(response)) {
            HttpUtil.setContentLength(response, response.content().readableBytes());
        }
        Answers.setConnection(response, staysOpen);
        relayed = null;
        if (staysOpen) {
            context.writeAndFlush(response);
            processBacklog();
        } else {
            closing = true;
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void writeHead(HttpResponse response) {
        keepAlive = keepAlive && chunksAllowed && !gateway.connections().isDraining();
        Answers.setConnection(response, keepAlive);
        HttpUtil.setTransferEncodingChunked(response, chunksAllowed);
        context.write(response);
    }

    @Override
    public void writePart(ByteBuf bytes) {
        encoder.writePart(bytes, chunksAllowed);
    }

    @Override
    public void end() {
        relayed = null;
        if (keepAlive && !gateway.connections().isDraining()) {
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            processBacklog();
        } else {
            closing = true;
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void abort() {
        relayed = null;
        closing = true;
        if (!chunksAllowed) {
            // Without chunks, only a reset tells the caller that the answer is not complete.
            context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        context.close();
    }

    private void process(Object message) {
        try {
            if (message instanceof HttpRequest request) {
                begin(request);
            }
            if (message instanceof HttpContent content && head != null) {
                addContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest request) {
        timeout.cancel();
        encoder.setHeadRequested(request.method().equals(HttpMethod.HEAD));
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            if (cause instanceof TooLongHttpHeaderException) {
                rejectTooLarge(
                        HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long");
            } else if (cause instanceof RequestDecoder.MisdirectedException) {
                reject(rejections.misdirected(cause.getMessage()));
            } else {
                reject(rejections.malformed(String.valueOf(cause.getMessage())));
            }
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > gateway.callerLimits().maxBodyBytes()) {
            rejectTooLarge(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long");
            return;
        }
        head = request;
        headReceivedAt = BootClock.nanos();
        body = new ByteArrayOutputStream();
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
        timeout.start(CallerLimits::idleTimeout, this::bodyTimedOut);
    }

    private void addContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            reject(rejections.malformed("the body is broken"));
            return;
        }
        try {
            content.content().readBytes(body, content.content().readableBytes());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write to a byte array", e);
        }
        if (body.size() > gateway.callerLimits().maxBodyBytes()) {
            rejectTooLarge(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long");
            return;
        }
        if (content instanceof LastHttpContent) {
            relay();
        }
    }

    private void relay() {
        timeout.cancel();
        CallerRequest request =
                new CallerRequest(
                        head.method(),
                        head.uri(),
                        head.headers(),
                        body.toByteArray(),
                        headReceivedAt);
        keepAlive = HttpUtil.isKeepAlive(head);
        chunksAllowed = head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        head = null;
        body = null;
        Optional<FullHttpResponse> refusal = gateway.shed(request);
        if (refusal.isPresent()) {
            writeAnswer(refusal.get());
            return;
        }
        relayed = new RelayedRequest(gateway, request, this);
        // The connection cannot be read again for checkConnected while the decoder is in use.
        if (reading) {
            startPending = true;
        } else {
            relayed.start();
        }
    }

    /** Resumes reading and processes the messages that arrived during the last request. */
    private void processBacklog() {
        context.channel().config().setAutoRead(true);
        if (backlog.isEmpty()) {
            timeout.start(CallerLimits::idleTimeout, this::closeIdle);
        }
        if (processingBacklog) {
            // What calls this has answered a message at once, and goes on with the next.
            return;
        }
        processingBacklog = true;
        try {
            while (!backlog.isEmpty() && relayed == null && !closing) {
                process(backlog.pollFirst());
            }
        } finally {
            processingBacklog = false;
        }
    }

    /** Rejects a request beyond a limit, unless the limit may have been raised. */
    private void rejectTooLarge(HttpResponseStatus status, String reason) {
        head = null;
        body = null;
        closing = true;
        timeout.cancel();
        long version = gateway.routesVersion();
        gateway.denials()
                .decide(
                        new Denials.Outcome() {
                            @Override
                            public void deny() {
                                reject(rejections.tooLarge(status, reason));
                            }

                            @Override
                            public void refuse(Duration retryAfter) {
                                reject(rejections.unconfirmed(reason, retryAfter));
                            }

                            @Override
                            public void reconsider() {
                                if (gateway.routesVersion() == version) {
                                    rejectTooLarge(status, reason);
                                } else {
                                    refuse(FinalAnswer.SHORT_RETRY_DELAY);
                                }
                            }
                        });
    }

    private void reject(FullHttpResponse response) {
        head = null;
        closing = true;
        timeout.cancel();
        Answers.setConnection(response, false);
        HttpUtil.setContentLength(response, response.content().readableBytes());
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private void headTimedOut() {
        encoder.setHeadRequested(false);
        reject(rejections.timedOut("the head did not arrive in time"));
    }

    private void bodyTimedOut() {
        reject(rejections.timedOut("the body did not arrive in time"));
    }

    private void closeIdle() {
        closing = true;
        context.close();
    }
}
