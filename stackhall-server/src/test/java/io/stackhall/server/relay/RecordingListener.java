package io.stackhall.server.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.stackhall.core.answer.BodyFraming;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Records what becomes of a call that may be sent at any time. */
public final class RecordingListener implements CallListener {

    private static final long PATIENCE_SECONDS = 5;

    private final CompletableFuture<String> begun = new CompletableFuture<>();
    private final CompletableFuture<String> ended = new CompletableFuture<>();
    private final StringBuilder body = new StringBuilder();

    /** Waits for the first part of the body, and returns it. */
    public String begun() throws Exception {
        return begun.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    /** Waits for the end, and returns the framing and the body, or "failed". */
    public String ended() throws Exception {
        return ended.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public boolean sending() {
        return true;
    }

    @Override
    public void answered(HttpResponse head) {
        // The body and its end are recorded.
    }

    @Override
    public void received(ByteBuf part) {
        body.append(part.toString(StandardCharsets.US_ASCII));
        begun.complete(body.toString());
    }

    @Override
    public void completed(BodyFraming framing) {
        ended.complete(framing + ": " + body);
    }

    @Override
    public void failed(CallFailure failure) {
        ended.complete("failed");
    }
}
