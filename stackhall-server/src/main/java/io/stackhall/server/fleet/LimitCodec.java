package io.stackhall.server.fleet;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.limit.HeardLimit;
import io.stackhall.core.limit.LimitRevision;
import io.stackhall.core.limit.LimitWord;
import io.stackhall.core.limit.PermitAnswer;
import io.stackhall.core.limit.PermitWaits;
import io.stackhall.core.limit.PermitWant;
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
    public static Frame words(Collection<LimitWord> words) {
        LimitWords.Builder all = LimitWords.newBuilder();
        words.forEach(word -> all.addWords(encode(word)));
        return Frame.newBuilder().setLimitWords(all).build();
    }

    /** Decodes words on limits. */
    public static List<LimitWord> words(LimitWords message) {
        return message.getWordsList().stream().map(LimitCodec::decode).toList();
    }

    private static io.stackhall.rpc.generated.fleet.LimitWord encode(LimitWord word) {
        io.stackhall.rpc.generated.fleet.LimitWord.Builder message =
                io.stackhall.rpc.generated.fleet.LimitWord.newBuilder()
                        .setUpstream(word.upstream().toString())
                        .setEnding(word.ending())
                        .setTerm(word.revision().term())
                        .setCount(word.revision().count());
        word.perSecond().ifPresent(message::setPerSecond);
        return message.build();
    }

    private static LimitWord decode(io.stackhall.rpc.generated.fleet.LimitWord message) {
        return new LimitWord(
                UpstreamId.parse(message.getUpstream()),
                figure(message.hasPerSecond(), message.getPerSecond()),
                message.getEnding(),
                new LimitRevision(message.getTerm(), message.getCount()));
    }

    /** Returns the frame by which a host tells what an upstream has said. */
    public static Frame heard(HostId host, HeardLimit heard) {
        LimitHeard.Builder message =
                LimitHeard.newBuilder()
                        .setHost(host.value())
                        .setUpstream(heard.upstream().toString())
                        .setTerm(heard.basis().term())
                        .setCount(heard.basis().count());
        heard.perSecond().ifPresent(message::setPerSecond);
        return Frame.newBuilder().setLimitHeard(message).build();
    }

    /** Decodes what an upstream has said to a host. */
    public static HeardLimit heard(LimitHeard message) {
        return new HeardLimit(
                UpstreamId.parse(message.getUpstream()),
                figure(message.hasPerSecond(), message.getPerSecond()),
                new LimitRevision(message.getTerm(), message.getCount()));
    }

    /**
     * Returns the frame by which a host asks for a permit.
     *
     * @param known what it knows of the limit
     */
    public static Frame ask(PermitWant want, LimitWord known) {
        return Frame.newBuilder()
                .setPermitAsk(
                        PermitAsk.newBuilder()
                                .setHost(want.host().value())
                                .setAlone(want.alone())
                                .setSpare(want.spare())
                                .setAskedAt(want.askedAt())
                                .setReturned(want.returned())
                                .setUnled(want.unled())
                                .setKnown(encode(known)))
                .build();
    }

    /** Decodes what a host asks for. */
    public static PermitWant want(PermitAsk message) {
        return new PermitWant(
                new HostId(message.getHost()),
                known(message).upstream(),
                message.getAlone(),
                message.getSpare(),
                message.getAskedAt(),
                message.getReturned(),
                message.getUnled());
    }

    /** Decodes what a host that asks knows of the limit. */
    public static LimitWord known(PermitAsk message) {
        return decode(message.getKnown());
    }

    /** Returns the frame that answers a host. */
    public static Frame reply(PermitAnswer answer, HostId leader) {
        PermitReply.Builder reply =
                PermitReply.newBuilder()
                        .setLeader(leader.value())
                        .setUpstream(answer.upstream().toString())
                        .setAskedAt(answer.askedAt())
                        .setGranted(answer.granted())
                        .setNextMillis(answer.waits().next().toMillis())
                        .setEachMillis(answer.waits().each().toMillis());
        answer.waits().taken().forEach(wait -> reply.addTakenMillis(wait.toMillis()));
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

    private static OptionalDouble figure(boolean told, double figure) {
        return told ? OptionalDouble.of(figure) : OptionalDouble.empty();
    }
}
