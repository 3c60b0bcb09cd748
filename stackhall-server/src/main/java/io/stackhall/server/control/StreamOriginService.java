package io.stackhall.server.control;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.stream.OriginAnswer;
import io.stackhall.core.stream.OriginLookup;
import io.stackhall.core.stream.StreamKey;
import io.stackhall.core.stream.StreamOrigins;
import io.stackhall.core.stream.VersionsSeen;
import io.stackhall.rpc.generated.fleet.StreamOriginAsk;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.StreamOriginCodec;
import io.stackhall.server.peer.Replier;
import java.time.Duration;

/**
 * Remembers for entry hosts where streams began, and answers their questions. What is remembered is
 * lost with the process; entry hosts tell it again. Confined to one event loop.
 */
final class StreamOriginService {

    private final StreamOrigins origins = new StreamOrigins();
    private final ControlGroup group;
    private final FleetRegistry fleet;
    private final HostId self;

    StreamOriginService(ControlGroup group, FleetRegistry fleet, HostId self) {
        this.group = group;
        this.fleet = fleet;
        this.self = self;
    }

    /** Remembers what an entry host tells. */
    void receive(io.stackhall.rpc.generated.fleet.StreamOrigins message) {
        long now = BootClock.nanos();
        message.getOriginsList().stream()
                .map(StreamOriginCodec::memory)
                .forEach(
                        memory ->
                                origins.remember(
                                        memory.key(), memory.origin(), memory.remaining(), now));
    }

    /** Answers a question with what this host knows of the stream and of its service. */
    void handle(StreamOriginAsk question, Replier replier) {
        long now = BootClock.nanos();
        OriginLookup lookup =
                question.hasStream()
                        ? origins.find(new StreamKey(question.getStream()), now)
                        : new OriginLookup.Unknown();
        VersionsSeen seen =
                question.getService().isEmpty()
                        ? VersionsSeen.nothing()
                        : fleet.versionsSeen(
                                new ServiceName(question.getService()),
                                Duration.ofMillis(question.getLifeMillis()));
        OriginAnswer answer = new OriginAnswer(lookup, seen, group.votersOfOwnGroup());
        replier.send(StreamOriginCodec.encode(question.getNumber(), self, answer));
    }

    /** Returns the number of streams that are remembered. */
    int size() {
        return origins.size();
    }
}
