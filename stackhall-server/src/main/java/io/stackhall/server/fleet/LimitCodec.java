package io.stackhall.server.fleet;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.limit.LimitObservation;
import io.stackhall.core.limit.LimitRevision;
import io.stackhall.core.limit.LimitUpdate;
import io.stackhall.core.limit.PermitAnswer;
import io.stackhall.core.limit.PermitRequest;
import io.stackhall.core.limit.PermitWaits;
import io.stackhall.rpc.generated.fleet.LimitHeard;
import io.stackhall.rpc.generated.fleet.LimitWords;
import io.stackhall.rpc.generated.fleet.PermitAsk;
import io.stackhall.rpc.generated.fleet.PermitReply;
import io.stackhall.rpc.generated.peer.Frame;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.OptionalDouble;

/** Encodes the messages between hosts about limits of upstreams and permits to send requests. */
public final class LimitCodec {

    private LimitCodec() {}

    /** Returns a frame with limit updates. */
    public static Frame updates(Collection<LimitUpdate> updates) {
        LimitWords.Builder message = LimitWords.newBuilder();
        updates.forEach(update -> message.addWords(encode(update)));
        return Frame.newBuilder().setLimitWords(message).build();
    }

    /** Decodes limit updates. */
    public static List<LimitUpdate> updates(LimitWords message) {
        return message.getWordsList().stream().map(LimitCodec::decode).toList();
    }

    private static io.stackhall.rpc.generated.fleet.LimitWord encode(LimitUpdate update) {
        io.stackhall.rpc.generated.fleet.LimitWord.Builder message =
                io.stackhall.rpc.generated.fleet.LimitWord.newBuilder()
                        .setUpstream(update.upstream().toString())
                        .setEnding(update.ending())
                        .setTerm(update.revision().term())
                        .setCount(update.revision().sequence());
        update.perSecond().ifPresent(message::setPerSecond);
        return message.build();
    }

    private static LimitUpdate decode(io.stackhall.rpc.generated.fleet.LimitWord message) {
        return new LimitUpdate(
                UpstreamId.parse(message.getUpstream()),
                optional(message.hasPerSecond(), message.getPerSecond()),
                message.getEnding(),
                new LimitRevision(message.getTerm(), message.getCount()));
    }

    /** Returns a frame in which a host reports the limit that an upstream announced to it. */
    public static Frame observation(HostId host, LimitObservation observation) {
        LimitHeard.Builder message =
                LimitHeard.newBuilder()
                        .setHost(host.value())
                        .setUpstream(observation.upstream().toString())
                        .setTerm(observation.basis().term())
                        .setCount(observation.basis().sequence());
        observation.perSecond().ifPresent(message::setPerSecond);
        return Frame.newBuilder().setLimitHeard(message).build();
    }

    /** Decodes the limit that an upstream announced to a host. */
    public static LimitObservation observation(LimitHeard message) {
        return new LimitObservation(
                UpstreamId.parse(message.getUpstream()),
                optional(message.hasPerSecond(), message.getPerSecond()),
                new LimitRevision(message.getTerm(), message.getCount()));
    }

    /**
     * Returns a frame in which a host requests permits.
     *
     * @param known the latest update of the limit that the host has received
     */
    public static Frame request(PermitRequest request, LimitUpdate known) {
        return Frame.newBuilder()
                .setPermitAsk(
                        PermitAsk.newBuilder()
                                .setHost(request.host().value())
                                .setAlone(request.exclusive())
                                .setSpare(request.optional())
                                .setAskedAt(request.requestedAt())
                                .setReturned(request.returned())
                                .setUnled(request.autonomous())
                                .setKnown(encode(known)))
                .build();
    }

    /** Decodes the permit request of a host. */
    public static PermitRequest request(PermitAsk message) {
        return new PermitRequest(
                new HostId(message.getHost()),
                knownLimit(message).upstream(),
                message.getAlone(),
                message.getSpare(),
                message.getAskedAt(),
                message.getReturned(),
                message.getUnled());
    }

    /** Decodes the limit update that the requesting host knows. */
    public static LimitUpdate knownLimit(PermitAsk message) {
        return decode(message.getKnown());
    }

    /** Returns a frame with the answer to a permit request. */
    public static Frame answer(PermitAnswer answer, HostId leader) {
        PermitReply.Builder message =
                PermitReply.newBuilder()
                        .setLeader(leader.value())
                        .setUpstream(answer.upstream().toString())
                        .setAskedAt(answer.requestedAt())
                        .setGranted(answer.granted())
                        .setNextMillis(answer.waits().next().toMillis())
                        .setEachMillis(answer.waits().increment().toMillis());
        answer.waits().queued().forEach(wait -> message.addTakenMillis(wait.toMillis()));
        return Frame.newBuilder().setPermitReply(message).build();
    }

    /**
     * Decodes the answer to a permit request.
     *
     * @param host the requesting host, which is this one
     */
    public static PermitAnswer answer(HostId host, PermitReply message) {
        PermitWaits waits =
                new PermitWaits(
                        message.getTakenMillisList().stream().map(Duration::ofMillis).toList(),
                        Duration.ofMillis(message.getNextMillis()),
                        Duration.ofMillis(message.getEachMillis()));
        return new PermitAnswer(
                host,
                UpstreamId.parse(message.getUpstream()),
                message.getAskedAt(),
                message.getGranted(),
                waits);
    }

    private static OptionalDouble optional(boolean present, double value) {
        return present ? OptionalDouble.of(value) : OptionalDouble.empty();
    }
}
