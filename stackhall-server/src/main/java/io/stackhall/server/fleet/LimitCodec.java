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

/** Limits that upstreams name, and permits to send to them, on the wire. */
public final class LimitCodec {

    private LimitCodec() {}

    /** Returns the frame that tells words on limits. */
    public static Frame updates(Collection<LimitUpdate> words) {
        LimitWords.Builder all = LimitWords.newBuilder();
        words.forEach(word -> all.addWords(encode(word)));
        return Frame.newBuilder().setLimitWords(all).build();
    }

    /** Decodes words on limits. */
    public static List<LimitUpdate> updates(LimitWords message) {
        return message.getWordsList().stream().map(LimitCodec::decode).toList();
    }

    private static io.stackhall.rpc.generated.fleet.LimitWord encode(LimitUpdate word) {
        io.stackhall.rpc.generated.fleet.LimitWord.Builder message =
                io.stackhall.rpc.generated.fleet.LimitWord.newBuilder()
                        .setUpstream(word.upstream().toString())
                        .setEnding(word.ending())
                        .setTerm(word.revision().term())
                        .setCount(word.revision().sequence());
        word.perSecond().ifPresent(message::setPerSecond);
        return message.build();
    }

    private static LimitUpdate decode(io.stackhall.rpc.generated.fleet.LimitWord message) {
        return new LimitUpdate(
                UpstreamId.parse(message.getUpstream()),
                optional(message.hasPerSecond(), message.getPerSecond()),
                message.getEnding(),
                new LimitRevision(message.getTerm(), message.getCount()));
    }

    /** Returns the frame by which a host tells what an upstream has said. */
    public static Frame observation(HostId host, LimitObservation heard) {
        LimitHeard.Builder message =
                LimitHeard.newBuilder()
                        .setHost(host.value())
                        .setUpstream(heard.upstream().toString())
                        .setTerm(heard.basis().term())
                        .setCount(heard.basis().sequence());
        heard.perSecond().ifPresent(message::setPerSecond);
        return Frame.newBuilder().setLimitHeard(message).build();
    }

    /** Decodes what an upstream has said to a host. */
    public static LimitObservation observation(LimitHeard message) {
        return new LimitObservation(
                UpstreamId.parse(message.getUpstream()),
                optional(message.hasPerSecond(), message.getPerSecond()),
                new LimitRevision(message.getTerm(), message.getCount()));
    }

    /**
     * Returns the frame by which a host asks for a permit.
     *
     * @param known what it knows of the limit
     */
    public static Frame request(PermitRequest want, LimitUpdate known) {
        return Frame.newBuilder()
                .setPermitAsk(
                        PermitAsk.newBuilder()
                                .setHost(want.host().value())
                                .setAlone(want.exclusive())
                                .setSpare(want.optional())
                                .setAskedAt(want.requestedAt())
                                .setReturned(want.returned())
                                .setUnled(want.autonomous())
                                .setKnown(encode(known)))
                .build();
    }

    /** Decodes what a host asks for. */
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

    /** Decodes what a host that asks knows of the limit. */
    public static LimitUpdate knownLimit(PermitAsk message) {
        return decode(message.getKnown());
    }

    /** Returns the frame that answers a host. */
    public static Frame answer(PermitAnswer answer, HostId leader) {
        PermitReply.Builder reply =
                PermitReply.newBuilder()
                        .setLeader(leader.value())
                        .setUpstream(answer.upstream().toString())
                        .setAskedAt(answer.requestedAt())
                        .setGranted(answer.granted())
                        .setNextMillis(answer.waits().next().toMillis())
                        .setEachMillis(answer.waits().increment().toMillis());
        answer.waits().queued().forEach(wait -> reply.addTakenMillis(wait.toMillis()));
        return Frame.newBuilder().setPermitReply(reply).build();
    }

    /** Decodes an answer to a host. */
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

    private static OptionalDouble optional(boolean told, double figure) {
        return told ? OptionalDouble.of(figure) : OptionalDouble.empty();
    }
}
