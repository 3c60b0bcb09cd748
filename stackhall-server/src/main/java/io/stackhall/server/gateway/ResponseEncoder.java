package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes answers to callers. The answer to a HEAD request ends with its head. */
final class ResponseEncoder extends HttpResponseEncoder {

    private static final int LINE_END = HttpConstants.CR << Byte.SIZE | HttpConstants.LF;

    /** Bytes around a chunk: its length of up to eight digits, and two line ends. */
    private static final int MAX_CHUNK_OVERHEAD = 12;

    private boolean headRequested;
    private boolean bodyOmitted;
    private ChannelHandlerContext context;

    @Override
    public void handlerAdded(ChannelHandlerContext added) throws Exception {
        super.handlerAdded(added);
        context = added;
    }

    /** Sets whether the next answer is that to a HEAD request. */
    void setHeadRequested(boolean requested) {
        headRequested = requested;
    }

    /** Returns whether the next answer is that to a HEAD request. */
    boolean headRequested() {
        return headRequested;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse answer) {
        bodyOmitted = headRequested || super.isContentAlwaysEmpty(answer);
        return bodyOmitted;
    }

    /**
     * Writes a part of a body behind its head; takes ownership of the buffer.
     *
     * <p>{@code super} makes three buffers of a part, which take a gathering write. A chunk in one
     * buffer takes a plain one, for each event of each stream.
     *
     * @param chunked whether the head announces chunks
     */
    void writePart(ByteBuf bytes, boolean chunked) {
        if (bodyOmitted || !bytes.isReadable()) {
            bytes.release();
            context.flush();
        } else if (chunked) {
            context.writeAndFlush(chunk(bytes));
        } else {
            context.writeAndFlush(bytes);
        }
    }

    private ByteBuf chunk(ByteBuf bytes) {
        int length = bytes.readableBytes();
        ByteBuf chunk = context.alloc().ioBuffer(length + MAX_CHUNK_OVERHEAD);
        ByteBufUtil.writeAscii(chunk, Integer.toHexString(length));
        chunk.writeShort(LINE_END).writeBytes(bytes).writeShort(LINE_END);
        bytes.release();
        return chunk;
    }
}
