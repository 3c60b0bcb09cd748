package io.stackhall.server.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.stackhall.core.answer.AnswerIdentity;
import io.stackhall.core.answer.BodyFraming;
import java.util.Optional;

/** One request on its way to an upstream. */
public final class UpstreamCall {

    private final UpstreamRoute route;
    private final FullHttpRequest request;
    private final AnswerIdentity identity;
    private final CallListener listener;
    private Channel channel;
    private long connectedAt;
    private ConnectionUse use = ConnectionUse.NONE;
    private final Runnable read = this::readOnce;
    private Optional<PacedReads> pace = Optional.empty();
    private boolean readingWanted = true;
    private boolean sent;
    private boolean ended;

    UpstreamCall(
            UpstreamRoute route,
            FullHttpRequest request,
            AnswerIdentity identity,
            CallListener listener) {
        this.route = route;
        this.request = request;
        this.identity = identity;
        this.listener = listener;
    }

    /** Breaks the call off: its connection is closed, and the listener hears nothing more. */
    public void cancel() {
        if (ended) {
            return;
        }
        end();
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Breaks the call off so that nothing of it is delivered from now on.
     *
     * <p>A connection that is merely closed goes on delivering what was written on it: an order
     * that a cut held up came to its engine 2.1 s after the first one of the next leader.
     */
    public void reset() {
        if (!ended && channel != null) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        cancel();
    }

    /** Stops or resumes reading the answer, so that a slow caller slows the upstream down. */
    public void reading(boolean wanted) {
        readingWanted = wanted;
        if (channel != null && !ended && pace.isEmpty()) {
            channel.config().setAutoRead(wanted);
        }
    }

    /** Has the rest of the answer read at common times instead of as it comes. */
    void readAt(PacedReads reads) {
        if (channel != null && !ended && pace.isEmpty()) {
            pace = Optional.of(reads);
            channel.config().setAutoRead(false);
            reads.add(read);
        }
    }

    private void readOnce() {
        if (readingWanted) {
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        }
    }

    /**
     * Returns when the connection of this call came up, on the monotonic clock in nanoseconds; to
     * be asked once the call is being sent.
     */
    public long connectedAt() {
        return connectedAt;
    }

    /** Returns which connection carries this call. */
    public ConnectionUse use() {
        return use;
    }

    UpstreamRoute route() {
        return route;
    }

    FullHttpRequest request() {
        return request;
    }

    AnswerIdentity identity() {
        return identity;
    }

    /** Returns whether the answer has no body, whatever its head says. */
    boolean isHead() {
        return request.method().equals(HttpMethod.HEAD);
    }

    CallListener listener() {
        return listener;
    }

    boolean ended() {
        return ended;
    }

    void boundTo(Channel bound) {
        channel = bound;
    }

    void recordConnection(long openedAt, ConnectionUse place) {
        connectedAt = openedAt;
        use = place;
    }

    /** Returns whether the request may be written now. */
    boolean sending() {
        sent = listener.sending();
        return sent;
    }

    void complete(BodyFraming framing) {
        if (!ended) {
            ended = true;
            leavePace();
            listener.completed(framing);
        }
    }

    void fail(String reason) {
        fail(sent ? CallFailure.Stage.SENT : CallFailure.Stage.NOT_SENT, reason);
    }

    /** Fails as the upstream has ended the connection in good order. */
    void endedByUpstream(String reason) {
        fail(sent ? CallFailure.Stage.ENDED_BY_UPSTREAM : CallFailure.Stage.NOT_SENT, reason);
    }

    /** Fails as what the upstream has sent cannot be believed as an answer. */
    void answerUnusable(String reason) {
        fail(sent ? CallFailure.Stage.UNUSABLE_ANSWER : CallFailure.Stage.NOT_SENT, reason);
    }

    void withdraw() {
        fail(CallFailure.Stage.WITHDRAWN, "not wanted any more");
    }

    void unreachable(CallFailure.Stage stage, String reason) {
        fail(stage, reason);
    }

    private void fail(CallFailure.Stage stage, String reason) {
        if (!ended) {
            end();
            listener.failed(new CallFailure(stage, reason));
        }
    }

    private void leavePace() {
        pace.ifPresent(reads -> reads.remove(read));
    }

    private void end() {
        ended = true;
        leavePace();
        if (!sent) {
            request.release();
        }
    }
}
