package io.stackhall.server.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ByteProcessor;
import io.stackhall.core.answer.HeadSyntax;
import java.util.List;

/**
 * Decodes answers, with bounds on their heads, and tells the orderly end of the peer's bytes from
 * any other end of the connection. A head that is malformed anywhere counts as a failure, whatever
 * {@code super} reads out of it.
 */
final class AnswerDecoder extends HttpResponseDecoder {

    private static final int MAX_LINE_BYTES = 4096;
    private static final int MAX_HEAD_BYTES = 32 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    /** More than any head that keeps to the bounds above takes, line ends included. */
    private static final int MAX_UNDECODED_BYTES = 2 * (MAX_LINE_BYTES + MAX_HEAD_BYTES);

    private final HeadSyntax syntax = new HeadSyntax();
    private final ByteProcessor toSyntax = syntax::accept;
    private boolean inHead = true;
    private int undecodedBytes;
    private boolean inputEnded;
    private boolean headRequested;

    AnswerDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEAD_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        int start = in.readerIndex();
        int decoded = out.size();
        super.decode(context, in, out);
        int consumed = in.readerIndex() - start;
        if (inHead) {
            in.forEachByte(start, consumed, toSyntax);
        }
        if (out.size() > decoded) {
            undecodedBytes = 0;
            if (inHead && out.get(decoded) instanceof HttpMessage head) {
                endHead(head);
            }
            inHead = out.getLast() instanceof LastHttpContent;
        } else {
            recordUndecoded(consumed);
        }
    }

    private void endHead(HttpMessage head) {
        syntax.fault()
                .map(DecoderException::new)
                .ifPresent(fault -> head.setDecoderResult(DecoderResult.failure(fault)));
        syntax.reset();
    }

    /** Bounds what may come in place of an answer, such as line ends in small pieces. */
    private void recordUndecoded(int bytes) {
        undecodedBytes += bytes;
        if (undecodedBytes > MAX_UNDECODED_BYTES) {
            throw new TooLongHttpHeaderException(
                    "no answer within " + MAX_UNDECODED_BYTES + " bytes");
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        inputEnded |= event instanceof ChannelInputShutdownEvent;
        super.userEventTriggered(context, event);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage answer) {
        return headRequested || super.isContentAlwaysEmpty(answer);
    }

    /** Sets whether the next answer is that to a HEAD request, which has no body. */
    void setHeadRequested(boolean requested) {
        headRequested = requested;
    }

    /** Returns whether the next answer is that to a HEAD request. */
    boolean headRequested() {
        return headRequested;
    }

    /** Returns whether nothing has come behind the last answer. */
    boolean isBetweenAnswers() {
        return undecodedBytes == 0 && actualReadableBytes() == 0;
    }

    /** Returns whether the peer has ended its bytes in good order. */
    boolean inputEnded() {
        return inputEnded;
    }
}
