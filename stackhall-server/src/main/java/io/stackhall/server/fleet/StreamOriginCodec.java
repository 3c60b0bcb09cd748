package io.stackhall.server.fleet;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.SoftwareVersion;
import io.stackhall.core.stream.OriginAnswer;
import io.stackhall.core.stream.OriginLookup;
import io.stackhall.core.stream.StreamKey;
import io.stackhall.core.stream.StreamOrigin;
import io.stackhall.core.stream.StreamOrigins.Memory;
import io.stackhall.core.stream.VersionsSeen;
import io.stackhall.rpc.generated.fleet.StreamOriginAnswer;
import io.stackhall.rpc.generated.fleet.StreamOriginAsk;
import io.stackhall.rpc.generated.peer.Frame;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.stream.Collectors;

/** Encodes the messages about the origins of streams. */
public final class StreamOriginCodec {

    private StreamOriginCodec() {}

    /** Returns the frame that has a control host remember origins. */
    public static Frame encode(Collection<Memory> memories) {
        io.stackhall.rpc.generated.fleet.StreamOrigins.Builder message =
                io.stackhall.rpc.generated.fleet.StreamOrigins.newBuilder();
        memories.forEach(
                memory ->
                        message.addOrigins(
                                encode(memory.key(), memory.origin())
                                        .setKeepMillis(memory.remaining().toMillis())));
        return Frame.newBuilder().setStreamOrigins(message).build();
    }

    /** Decodes an origin to be remembered. */
    public static Memory memory(io.stackhall.rpc.generated.fleet.StreamOrigin message) {
        return new Memory(
                new StreamKey(message.getStream()),
                origin(message),
                Duration.ofMillis(message.getKeepMillis()));
    }

    /**
     * Returns the frame that asks for the origin of a stream.
     *
     * @param key the stream, if the caller says which one it is
     */
    public static Frame question(
            long number, Optional<StreamKey> key, Optional<ServiceName> service, Duration life) {
        StreamOriginAsk.Builder message =
                StreamOriginAsk.newBuilder()
                        .setNumber(number)
                        .setService(service.map(ServiceName::value).orElse(""))
                        .setLifeMillis(life.toMillis());
        key.ifPresent(stream -> message.setStream(stream.value()));
        return Frame.newBuilder().setStreamOriginAsk(message).build();
    }

    /** Returns the frame that answers a question. */
    public static Frame encode(long number, HostId self, OriginAnswer answer) {
        VersionsSeen seen = answer.seen();
        StreamOriginAnswer.Builder message =
                StreamOriginAnswer.newBuilder()
                        .setNumber(number)
                        .setHost(self.value())
                        .setContradictory(answer.lookup() instanceof OriginLookup.Contradictory)
                        .setOthersPossible(seen.othersPossible())
                        .setWatchedMillis(seen.watched().toMillis())
                        .setVoters(answer.voters());
        if (answer.lookup() instanceof OriginLookup.Known(StreamOrigin origin)) {
            message.setOrigin(encode(new StreamKey(0), origin));
        }
        seen.versions().forEach(version -> message.addVersions(version.value()));
        return Frame.newBuilder().setStreamOriginAnswer(message).build();
    }

    /** Decodes the answer to a question. */
    public static OriginAnswer answer(StreamOriginAnswer message) {
        VersionsSeen seen =
                new VersionsSeen(
                        message.getVersionsList().stream()
                                .map(SoftwareVersion::of)
                                .collect(Collectors.toSet()),
                        message.getOthersPossible(),
                        Duration.ofMillis(message.getWatchedMillis()));
        return new OriginAnswer(lookup(message), seen, message.getVoters());
    }

    private static OriginLookup lookup(StreamOriginAnswer message) {
        if (message.getContradictory()) {
            return new OriginLookup.Contradictory();
        }
        return message.hasOrigin()
                ? new OriginLookup.Known(origin(message.getOrigin()))
                : new OriginLookup.Unknown();
    }

    private static io.stackhall.rpc.generated.fleet.StreamOrigin.Builder encode(
            StreamKey key, StreamOrigin origin) {
        return io.stackhall.rpc.generated.fleet.StreamOrigin.newBuilder()
                .setStream(key.value())
                .setService(origin.service().value())
                .setSoftware(origin.software().value());
    }

    private static StreamOrigin origin(io.stackhall.rpc.generated.fleet.StreamOrigin message) {
        return new StreamOrigin(
                new ServiceName(message.getService()), SoftwareVersion.of(message.getSoftware()));
    }
}
