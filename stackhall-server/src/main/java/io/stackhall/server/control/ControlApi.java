package io.stackhall.server.control;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.stackhall.core.config.Finding;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.route.RouteTable;
import io.stackhall.core.route.RouteTableChecker;
import io.stackhall.platform.Calls;
import io.stackhall.platform.ConfigurationDecoder;
import io.stackhall.platform.RegistrationDecoder;
import io.stackhall.rpc.generated.fleet.ControlSnapshot;
import io.stackhall.server.group.CommandOutcome;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Handles HTTP calls of operators and upstreams on a control host. */
final class ControlApi extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final Logger logger = LogManager.getLogger(ControlApi.class);

    /** Operators try another host after one second without an answer; a commit takes far less. */
    private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(3);

    /** A read that has not reached the leader within this time is answered as uncertain. */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(850);

    private static final byte[] ACKNOWLEDGED = "{}".getBytes(StandardCharsets.US_ASCII);

    private final ControlGroup group;
    private final FleetRegistry fleet;
    private final OperatorApi operators;
    private final EvacuationService evacuations;
    private final EndRecorder ends;

    ControlApi(
            ControlGroup group,
            FleetRegistry fleet,
            OperatorApi operators,
            EvacuationService evacuations,
            EndRecorder ends) {
        this.group = group;
        this.fleet = fleet;
        this.operators = operators;
        this.evacuations = evacuations;
        this.ends = ends;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        if (request.decoderResult().cause() instanceof TooLongHttpContentException tooLong) {
            answer(
                    context,
                    HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                    message(tooLong.getMessage()),
                    keepAlive);
            return;
        }
        if (request.decoderResult().isFailure()) {
            answer(context, HttpResponseStatus.BAD_REQUEST, message("not HTTP"), false);
            return;
        }
        String path = path(request.uri());
        Optional<String> heartbeat = Calls.heartbeatOf(path);
        Optional<String> leaving = Calls.deregistrationOf(path);
        Optional<String> evacuatedZone = Calls.evacuationOf(path);
        Optional<String> restoredZone = Calls.evacuationEndOf(path);
        boolean posted = request.method().equals(HttpMethod.POST);
        if (posted && heartbeat.isPresent()) {
            handleHeartbeat(context, heartbeat.get(), bytes(request), keepAlive);
        } else if (posted && leaving.isPresent()) {
            handleLeaving(context, leaving.get(), bytes(request), keepAlive);
        } else if (posted && path.equals(Calls.PUT_CONFIGURATION)) {
            put(context, bytes(request), keepAlive);
        } else if (path.equals(Calls.READ_CONFIGURATION)) {
            read(context, keepAlive);
        } else if (posted && evacuatedZone.isPresent()) {
            evacuate(context, evacuatedZone.get(), false, keepAlive);
        } else if (posted && restoredZone.isPresent()) {
            evacuate(context, restoredZone.get(), true, keepAlive);
        } else if (OperatorApi.handles(path)) {
            operators.handle(
                    request.method(),
                    path,
                    bytes(request),
                    response ->
                            answer(
                                    context,
                                    HttpResponseStatus.valueOf(response.status()),
                                    response.body(),
                                    keepAlive));
        } else {
            answer(
                    context,
                    HttpResponseStatus.NOT_FOUND,
                    message("no such call: " + path),
                    keepAlive);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        logger.debug("api.connection-failed {}", cause.toString());
        context.close();
    }

    private void handleHeartbeat(
            ChannelHandlerContext context, String id, byte[] body, boolean keepAlive) {
        Either<Finding, Instance> decoded = RegistrationDecoder.decode(id, body);
        if (decoded.isLeft()) {
            refuse(context, decoded.getLeft(), keepAlive);
            return;
        }
        fleet.receive(decoded.get());
        answer(context, HttpResponseStatus.OK, ACKNOWLEDGED, keepAlive);
    }

    private void handleLeaving(
            ChannelHandlerContext context, String id, byte[] body, boolean keepAlive) {
        Either<Finding, UpstreamId> decoded = RegistrationDecoder.decodeLeaving(id, body);
        if (decoded.isLeft()) {
            refuse(context, decoded.getLeft(), keepAlive);
            return;
        }
        ends.record(
                fleet.remove(decoded.get()),
                outcome -> answer(context, statusOf(outcome), ACKNOWLEDGED, keepAlive));
    }

    private void refuse(ChannelHandlerContext context, Finding finding, boolean keepAlive) {
        fleet.recordRefusal(finding);
        answer(context, HttpResponseStatus.BAD_REQUEST, message(finding.toString()), keepAlive);
    }

    private void put(ChannelHandlerContext context, byte[] body, boolean keepAlive) {
        Either<Finding, RouteTable> decoded = ConfigurationDecoder.decode(body);
        List<Finding> findings =
                decoded.isLeft()
                        ? List.of(decoded.getLeft())
                        : RouteTableChecker.check(decoded.get());
        if (!findings.isEmpty()) {
            logger.info("routes.refused findings={}", findings);
            answer(
                    context,
                    HttpResponseStatus.BAD_REQUEST,
                    message(findings.toString()),
                    keepAlive);
            return;
        }
        long version = decoded.get().version();
        byte[] command = ControlStateMachine.putCommand(version, body);
        Thread.startVirtualThread(
                () -> {
                    CommandOutcome outcome = group.command(command, COMMIT_TIMEOUT);
                    logger.info("routes.put version={} outcome={}", version, outcome.description());
                    if (outcome instanceof CommandOutcome.Done) {
                        answer(context, HttpResponseStatus.OK, ACKNOWLEDGED, keepAlive);
                    } else {
                        answer(
                                context,
                                HttpResponseStatus.SERVICE_UNAVAILABLE,
                                message(outcome.toString()),
                                keepAlive);
                    }
                });
    }

    private void evacuate(
            ChannelHandlerContext context, String zone, boolean ends, boolean keepAlive) {
        Optional<ZoneId> zoneId = ZoneId.parse(zone);
        if (zoneId.isEmpty()) {
            answer(context, HttpResponseStatus.BAD_REQUEST, message("no zone's name"), keepAlive);
            return;
        }
        evacuations.order(
                zoneId.get(),
                ends,
                outcome -> answer(context, statusOf(outcome), ACKNOWLEDGED, keepAlive));
    }

    private static HttpResponseStatus statusOf(CommandOutcome outcome) {
        return outcome instanceof CommandOutcome.Done
                ? HttpResponseStatus.OK
                : HttpResponseStatus.SERVICE_UNAVAILABLE;
    }

    private void read(ChannelHandlerContext context, boolean keepAlive) {
        Thread.startVirtualThread(
                () -> {
                    CommandOutcome outcome = group.query(READ_TIMEOUT);
                    if (!(outcome instanceof CommandOutcome.Done(byte[] state))) {
                        logger.info("routes.read-uncertain outcome={}", outcome);
                        answer(
                                context,
                                HttpResponseStatus.SERVICE_UNAVAILABLE,
                                message(outcome.toString()),
                                keepAlive);
                        return;
                    }
                    ControlSnapshot newest = ControlStateMachine.decodeState(state);
                    if (newest.getVersion() < 0) {
                        answer(
                                context,
                                HttpResponseStatus.SERVICE_UNAVAILABLE,
                                message("there is no configuration yet"),
                                keepAlive);
                        return;
                    }
                    answer(
                            context,
                            HttpResponseStatus.OK,
                            newest.getBody().toByteArray(),
                            keepAlive);
                });
    }

    private static void answer(
            ChannelHandlerContext context,
            HttpResponseStatus status,
            byte[] body,
            boolean keepAlive) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (keepAlive) {
            context.writeAndFlush(response);
        } else {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }

    private static byte[] message(String text) {
        String escaped =
                text.replace("\\", "\\\\").replace("\"", "'").replaceAll("\\p{Cntrl}", " ");
        return ("{\"message\":\"" + escaped + "\"}").getBytes(StandardCharsets.UTF_8);
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static byte[] bytes(FullHttpRequest request) {
        return ByteBufUtil.getBytes(request.content());
    }
}
