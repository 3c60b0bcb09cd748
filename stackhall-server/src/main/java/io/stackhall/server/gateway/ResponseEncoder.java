package io.stackhall.server.gateway;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes answers to callers. The answer to a HEAD request ends with its head. */
final class ResponseEncoder extends HttpResponseEncoder {

    private boolean headRequested;

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
        return headRequested || super.isContentAlwaysEmpty(answer);
    }
}
