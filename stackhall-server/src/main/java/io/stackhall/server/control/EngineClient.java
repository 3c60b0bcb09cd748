package io.stackhall.server.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import io.stackhall.core.answer.AnswerIdentity;
import io.stackhall.core.answer.BodyFraming;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.limit.LimitRevision;
import io.stackhall.platform.AnswerHeaders;
import io.stackhall.platform.Headers;
import io.stackhall.server.relay.CallFailure;
import io.stackhall.server.relay.CallListener;
import io.stackhall.server.relay.UpstreamCall;
import io.stackhall.server.relay.UpstreamClient;
import io.stackhall.server.settings.Address;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Calls engines, with a timeout for each call, and only while sending is allowed. */
final class EngineClient {

    private static final Logger logger = LogManager.getLogger(EngineClient.class);

    /** Far more than the few milliseconds within which engines answer orders. */
    private static final long TIMEOUT_MILLIS = 900;

    /** Far more than an engine's account of what it holds. */
    private static final int MAX_ANSWER_BYTES = 1 << 20;

    private final EventLoop loop;
    private final UpstreamClient upstreams;
    private final BooleanSupplier sendAllowed;
    private final EngineListener engineListener;
    private final Set<Call> inFlight = new HashSet<>();
    private final RandomGenerator random = new Random();

    /** Receives the result of one call. */
    interface AnswerListener {
        /** Called with the status, if an answer came in time, and the answer's body. */
        void onAnswer(Optional<Integer> status, byte[] body);
    }

    /** Receives what all calls reveal about engines. */
    interface EngineListener {
        /** Returns the revision of an engine's limit that this host knows. */
        LimitRevision limitRevision(UpstreamId id);

        /**
         * An engine announces its limit in requests per second.
         *
         * @param basis the revision that this host knew when it sent the call
         */
        void onLimit(UpstreamId id, double perSecond, LimitRevision basis);

        /** An engine requests that this host send nothing for some time. */
        void onRest(UpstreamId id, Duration time);

        /** An engine announces that it is leaving. */
        void onLeaving(UpstreamId id);

        /** No connection to an engine could be established; says whether it was refused. */
        void onUnreachable(UpstreamId id, boolean refused);
    }

    /**
     * Creates a client.
     *
     * @param sendAllowed checked immediately before a call is written
     */
    EngineClient(
            EventLoop loop,
            UpstreamClient upstreams,
            BooleanSupplier sendAllowed,
            EngineListener engineListener) {
        this.loop = loop;
        this.upstreams = upstreams;
        this.sendAllowed = sendAllowed;
        this.engineListener = engineListener;
    }

    void post(UpstreamId id, String address, String path, byte[] body, AnswerListener listener) {
        new Call(id, address, listener).start(request(HttpMethod.POST, path, body, id));
    }

    void get(UpstreamId id, String address, String path, AnswerListener listener) {
        new Call(id, address, listener).start(request(HttpMethod.GET, path, new byte[0], id));
    }

    /** Cancels all calls in flight, as if they had timed out. */
    void cancelAll() {
        List.copyOf(inFlight).forEach(Call::timeOut);
    }

    private static FullHttpRequest request(
            HttpMethod method, String path, byte[] body, UpstreamId expected) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, "engine");
        request.headers().set(Headers.EXPECTED_INSTANCE, expected.value());
        if (body.length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return request;
    }

    /** One call. */
    private final class Call implements CallListener {
        private final UpstreamId id;
        private final Address address;
        private final AnswerListener listener;
        private final ByteBuf body = Unpooled.buffer();
        private UpstreamCall call;
        private ScheduledFuture<?> timeout;
        private LimitRevision limitBasis = LimitRevision.none();
        private int status;

        Call(UpstreamId id, String address, AnswerListener listener) {
            this.id = id;
            this.address = Address.parse(address);
            this.listener = listener;
        }

        void start(FullHttpRequest request) {
            String callId = HexFormat.of().toHexDigits(random.nextLong());
            request.headers().set(Headers.REQUEST_ID, callId);
            timeout = loop.schedule(this::timeOut, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            inFlight.add(this);
            AnswerIdentity identity = new AnswerIdentity.EchoedIfAtAll(callId);
            call = upstreams.send(address, request, identity, this);
        }

        @Override
        public boolean sending() {
            limitBasis = engineListener.limitRevision(id);
            return sendAllowed.getAsBoolean();
        }

        @Override
        public void answered(HttpResponse head) {
            status = head.status().code();
            AnswerHeaders.limit(head.headers()::get)
                    .forEach(
                            limit ->
                                    limit.ifPresent(
                                            one -> engineListener.onLimit(id, one, limitBasis)));
            AnswerHeaders.rest(status, head.headers()::get, Instant.now())
                    .forEach(rest -> rest.ifPresent(time -> engineListener.onRest(id, time)));
            if (AnswerHeaders.leaving(head.headers()::get)) {
                engineListener.onLeaving(id);
            }
        }

        @Override
        public void received(ByteBuf part) {
            if (body.readableBytes() + part.readableBytes() <= MAX_ANSWER_BYTES) {
                body.writeBytes(part);
                return;
            }
            logger.warn("order.answer-too-long address={} bytes={}", address, MAX_ANSWER_BYTES);
            call.reset();
            finish(Optional.empty());
        }

        @Override
        public void completed(BodyFraming framing) {
            finish(Optional.of(status));
        }

        @Override
        public void failed(CallFailure failure) {
            logger.info("order.unanswered address={} reason={}", address, failure.reason());
            boolean refused = failure.stage() == CallFailure.Stage.REFUSED;
            if (refused || failure.stage() == CallFailure.Stage.NO_CONNECTION) {
                engineListener.onUnreachable(id, refused);
            }
            finish(Optional.empty());
        }

        private void timeOut() {
            call.reset();
            finish(Optional.empty());
        }

        private void finish(Optional<Integer> answered) {
            inFlight.remove(this);
            timeout.cancel(false);
            listener.onAnswer(answered, ByteBufUtil.getBytes(body));
        }
    }
}
