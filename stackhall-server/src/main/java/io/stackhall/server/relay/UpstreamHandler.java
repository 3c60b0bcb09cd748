package io.stackhall.server.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.stackhall.core.answer.BodyFraming;
import io.stackhall.core.answer.ConnectionHistory;
import io.stackhall.server.clock.BootClock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Matches what comes on one connection to the request that was sent on it, as its {@link
 * ConnectionHistory} decides.
 *
 * <p>A body without a length is whole only if the upstream ended the connection in good order, and
 * not if this host did, for whatever reason. After anything odd the connection is closed.
 */
final class UpstreamHandler extends ChannelInboundHandlerAdapter {

    /** Interim answers, and pieces of answers to earlier requests, that are passed over at most. */
    private static final int MAX_SKIPPED_MESSAGES = 200;

    private static final int MAX_SKIPPED_BYTES = 1 << 20;
    private static final String NO_ANSWER = "too much that belongs to no request";
    private static final String TIMEOUT_PARAMETER = "timeout=";

    /** An upstream may close a resting connection this much before its time. */
    private static final long EARLY_CLOSE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private static final String CLOSED_EARLY = "connection closed before the answer was whole";

    private final UpstreamClient client;
    private final AnswerDecoder decoder;
    private final String echoHeader;
    private final long number;
    private final long openedAt = BootClock.nanos();
    private final ConnectionHistory history = new ConnectionHistory();
    private UpstreamCall call;
    private boolean written;
    private boolean skipping;
    private int skippedMessages;
    private int skippedBytes;
    private boolean answering;
    private boolean reusable;
    private boolean broken;
    private BodyFraming framing;
    private long keptNanos;

    /**
     * Creates the handler of one connection.
     *
     * @param number the number of the connection
     */
    UpstreamHandler(UpstreamClient client, AnswerDecoder decoder, String echoHeader, long number) {
        this.client = client;
        this.decoder = decoder;
        this.echoHeader = echoHeader;
        this.number = number;
    }

    /** Returns whether a call may be the next one on this connection. */
    boolean mayCarry(UpstreamCall next) {
        return history.mayCarry(next.identity(), next.isHead());
    }

    /** Returns whether the connection rests, and nothing has come since its last answer. */
    boolean isAtRest() {
        return call == null && !broken && decoder.isBetweenAnswers();
    }

    void begin(UpstreamCall next) {
        call = next;
        history.begin(next.identity(), next.isHead());
        next.recordConnection(openedAt, new ConnectionUse(number, history.requests()));
        decoder.setHeadRequested(next.isHead());
        written = false;
        skipping = false;
        skippedMessages = 0;
        skippedBytes = 0;
        answering = false;
        reusable = true;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (call == null || call.ended() || broken) {
                context.close();
                return;
            }
            if (message instanceof HttpResponse head) {
                head(context, head);
            }
            if (message instanceof HttpContent content && call != null && !call.ended()) {
                content(context, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof UpstreamClient.RequestWritten(UpstreamCall of, boolean whole)
                && of == call) {
            written = whole;
            if (!whole) {
                end(context, "the request could not be written");
            }
        } else if (event instanceof ChannelInputShutdownEvent) {
            end(context, failed -> failed.endedByUpstream(CLOSED_EARLY));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        end(context, "connection failed: " + cause.getMessage());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        end(context, CLOSED_EARLY);
    }

    private void head(ChannelHandlerContext context, HttpResponse head) {
        if (head.decoderResult().isFailure()) {
            endUnusable(
                    context,
                    "the answer is not HTTP: " + head.decoderResult().cause().getMessage());
            return;
        }
        if (!BodyFraming.isReadable(head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING))) {
            endUnusable(context, "the answer's transfer coding is not supported");
            return;
        }
        if (history.mayJoinAnswers(texts(head))) {
            endUnusable(context, "the head holds the status line of another answer");
            return;
        }
        if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            endUnusable(context, "the upstream switches to another protocol");
            return;
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            passOver(context);
            return;
        }
        List<String> echoes = head.headers().getAll(echoHeader);
        switch (history.ownerOf(echoes)) {
            case CURRENT_REQUEST -> beginAnswer(head);
            case OTHER_REQUEST -> {
                call.listener().passedOver(foreign(head, echoes.getFirst()));
                passOver(context);
            }
            case UNKNOWN ->
                    endUnusable(context, "it cannot be told which request the answer belongs to");
        }
    }

    private static Stream<String> texts(HttpResponse head) {
        return Stream.concat(
                Stream.of(head.status().reasonPhrase()),
                head.headers().entries().stream().map(Map.Entry::getValue));
    }

    private ForeignAnswer foreign(HttpResponse head, String echo) {
        return new ForeignAnswer(head.status().code(), echo, call.use());
    }

    private void passOver(ChannelHandlerContext context) {
        skipping = true;
        recordSkipped(context, 0);
    }

    private void beginAnswer(HttpResponse head) {
        answering = true;
        framing = framing(head);
        reusable = HttpUtil.isKeepAlive(head) && framing != BodyFraming.CONNECTION && written;
        keptNanos = keptNanos(head.headers().get(HttpHeaderNames.KEEP_ALIVE));
        call.listener().answered(head);
    }

    private void content(ChannelHandlerContext context, HttpContent content) {
        if (content.decoderResult().isFailure()) {
            end(context, "the answer's body is broken");
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            recordSkipped(context, content.content().readableBytes());
            return;
        }
        if (content.content().isReadable()) {
            call.listener().received(content.content());
        }
        if (last && answering && !call.ended()) {
            if (framing == BodyFraming.CONNECTION && !decoder.inputEnded()) {
                end(context, CLOSED_EARLY);
            } else {
                finish(context);
            }
        }
    }

    /** Ends a connection whose upstream goes on sending what belongs to no request. */
    private void recordSkipped(ChannelHandlerContext context, int bytes) {
        skippedMessages += bytes == 0 ? 1 : 0;
        skippedBytes += bytes;
        if (skippedMessages > MAX_SKIPPED_MESSAGES || skippedBytes > MAX_SKIPPED_BYTES) {
            end(context, NO_ANSWER);
        }
    }

    private void finish(ChannelHandlerContext context) {
        UpstreamCall done = call;
        call = null;
        context.channel().config().setAutoRead(true);
        if (reusable && history.mayBeReused() && decoder.isBetweenAnswers()) {
            client.rest(done.route(), context.channel(), keptNanos);
        } else {
            context.close();
        }
        done.complete(framing);
    }

    private void end(ChannelHandlerContext context, String reason) {
        end(context, failed -> failed.fail(reason));
    }

    private void endUnusable(ChannelHandlerContext context, String reason) {
        end(context, failed -> failed.answerUnusable(reason));
    }

    private void end(ChannelHandlerContext context, Consumer<UpstreamCall> failure) {
        broken = true;
        UpstreamCall failed = call;
        call = null;
        context.close();
        if (failed != null) {
            failure.accept(failed);
        }
    }

    private BodyFraming framing(HttpResponse head) {
        if (decoder.headRequested()) {
            return BodyFraming.LENGTH;
        }
        if (HttpUtil.isTransferEncodingChunked(head)) {
            return BodyFraming.CHUNKED;
        }
        boolean lengthKnown = HttpUtil.isContentLengthSet(head) || hasNoBody(head.status());
        return lengthKnown ? BodyFraming.LENGTH : BodyFraming.CONNECTION;
    }

    private static boolean hasNoBody(HttpResponseStatus status) {
        return status.equals(HttpResponseStatus.NO_CONTENT)
                || status.equals(HttpResponseStatus.NOT_MODIFIED);
    }

    private static long keptNanos(String keepAlive) {
        int at = keepAlive == null ? -1 : keepAlive.indexOf(TIMEOUT_PARAMETER);
        if (at < 0) {
            return Long.MAX_VALUE;
        }
        long seconds = 0;
        for (int i = at + TIMEOUT_PARAMETER.length(); i < keepAlive.length(); i++) {
            int digit = Character.digit(keepAlive.charAt(i), 10);
            if (digit < 0) {
                break;
            }
            seconds = seconds * 10 + digit;
        }
        return TimeUnit.SECONDS.toNanos(seconds) - EARLY_CLOSE_NANOS;
    }
}
