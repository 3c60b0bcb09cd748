package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.route.Route;
import io.stackhall.core.stream.OriginHolders;
import io.stackhall.core.stream.OriginInquiry;
import io.stackhall.core.stream.OriginLookup;
import io.stackhall.core.stream.StreamKey;
import io.stackhall.core.stream.StreamLedger;
import io.stackhall.core.stream.StreamOrigin;
import io.stackhall.core.stream.StreamOrigins.Memory;
import io.stackhall.core.stream.TakeUp;
import io.stackhall.core.stream.VersionsSeen;
import io.stackhall.rpc.generated.fleet.StreamOriginAnswer;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.StreamOriginCodec;
import io.stackhall.server.metrics.FleetMetrics;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Remembers where the streams of one entry host began, has control hosts remember it while a
 * service runs several versions of its software, and asks them for streams that began at other
 * hosts. Not thread-safe: confined to one event loop.
 */
final class StreamOriginClient {

    /**
     * A control host answers within some milliseconds, and one whose connection was reset is
     * connected again within a tenth of a second; a caller waits for this decision.
     */
    private static final long ANSWER_TIMEOUT_MILLIS = 250;

    private final ZoneId zone;
    private final EventLoop loop;
    private final ControlHostConnections controlHosts;
    private final FleetMetrics metrics;
    private final StreamLedger ledger = new StreamLedger();
    private final Map<Long, Question> questions = new HashMap<>();
    private Set<HostId> lastConnected = Set.of();
    private long lastNumber;

    /** A question that control hosts have not answered yet, and who waits for its decision. */
    private record Question(Frame frame, OriginInquiry inquiry, Consumer<TakeUp> decided) {}

    StreamOriginClient(
            ZoneId zone,
            EventLoop loop,
            ControlHostConnections controlHosts,
            FleetMetrics metrics) {
        this.zone = zone;
        this.loop = loop;
        this.controlHosts = controlHosts;
        this.metrics = metrics;
    }

    /** Records that all instances of the moment are known. */
    void startWatching() {
        ledger.startWatching(BootClock.nanos());
    }

    /** Applies a change of an instance. */
    void instanceChanged(Instance instance) {
        tellHolders(ledger.instanceChanged(instance, BootClock.nanos()));
    }

    /**
     * Tells a control host that has just been connected what it may have lost or missed, and asks
     * it what is being asked.
     */
    void connected(HostId host) {
        questions.values().forEach(question -> send(question, host));
        List<Memory> memories = ledger.toRemember(BootClock.nanos());
        if (!memories.isEmpty()) {
            controlHosts.send(host, StreamOriginCodec.encode(memories));
        }
    }

    /**
     * Checks the control hosts. While one is out of reach, streams are remembered by the others,
     * which are told all of them as it is lost.
     *
     * @param known the control hosts that should be connected
     */
    void checkControlHosts(Collection<HostId> known) {
        Set<HostId> connected = Set.copyOf(controlHosts.connected());
        if (!connected.containsAll(known)) {
            versionsUnwatched();
        }
        if (!connected.containsAll(lastConnected)) {
            tellHolders(ledger.toRemember(BootClock.nanos()));
        }
        lastConnected = connected;
    }

    /**
     * Records that control hosts cannot vouch for a single version now, and has them remember all
     * streams.
     */
    void versionsUnwatched() {
        tellHolders(ledger.versionsUnwatched(BootClock.nanos()));
    }

    /**
     * Records the first event of a stream, or of its continuation.
     *
     * @param keep how long its caller may still take it up
     */
    void begun(StreamKey key, StreamOrigin origin, Duration keep) {
        tellHolders(ledger.begun(key, origin, keep, BootClock.nanos()));
    }

    /**
     * Finds out whether a stream that its caller takes up goes on. Decided at once if this host
     * knows the stream, otherwise once control hosts have answered.
     *
     * @param key the stream, if its caller says which one it is
     * @param life the longest time since the stream can have begun
     */
    void inquire(Optional<StreamKey> key, Route route, Duration life, Consumer<TakeUp> decided) {
        long now = BootClock.nanos();
        OriginLookup own =
                key.map(stream -> ledger.find(stream, now)).orElseGet(OriginLookup.Unknown::new);
        switch (own) {
            case OriginLookup.Known(StreamOrigin origin) ->
                    decided.accept(new TakeUp.GoOn(origin, TakeUp.Evidence.OWN_RECORD).on(route));
            case OriginLookup.Contradictory() ->
                    decided.accept(new TakeUp.Refused(TakeUp.Reason.CONTRADICTORY));
            case OriginLookup.Unknown() ->
                    ask(key, route, life, takeUp -> decided.accept(takeUp.on(route)), now);
        }
    }

    private void ask(
            Optional<StreamKey> key,
            Route route,
            Duration life,
            Consumer<TakeUp> decided,
            long now) {
        Optional<ServiceName> service = route.onlyService();
        VersionsSeen seen =
                service.map(name -> ledger.seen(name, life, now)).orElseGet(VersionsSeen::nothing);
        OriginInquiry inquiry = new OriginInquiry(service, life, seen, controlHosts.known());
        long number = ++lastNumber;
        Frame frame = StreamOriginCodec.question(number, key, service, life);
        Question question = new Question(frame, inquiry, decided);
        questions.put(number, question);
        controlHosts.connected().forEach(host -> send(question, host));
        loop.schedule(() -> timeOut(number), ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void send(Question question, HostId host) {
        if (controlHosts.send(host, question.frame())) {
            question.inquiry().sent(host);
        }
    }

    /** Receives a control host's answer. */
    void receive(StreamOriginAnswer answer) {
        Question question = questions.get(answer.getNumber());
        if (question == null) {
            return;
        }
        question.inquiry()
                .answer(new HostId(answer.getHost()), StreamOriginCodec.answer(answer))
                .ifPresent(
                        takeUp -> {
                            questions.remove(answer.getNumber());
                            question.decided().accept(takeUp);
                        });
    }

    private void timeOut(long number) {
        Question question = questions.remove(number);
        if (question != null) {
            question.decided().accept(question.inquiry().conclude());
        }
    }

    /** Updates the gauges. */
    void measure() {
        metrics.state("stream_origins", ledger.size());
        metrics.state("stream_origin_questions", questions.size());
    }

    private void tellHolders(List<Memory> memories) {
        Map<HostId, ZoneId> zones = controlHosts.zones();
        Map<HostId, List<Memory>> byHolder = new HashMap<>();
        for (Memory memory : memories) {
            for (HostId holder : OriginHolders.select(memory.key(), zone, zones)) {
                byHolder.computeIfAbsent(holder, host -> new ArrayList<>()).add(memory);
            }
        }
        byHolder.forEach((host, told) -> controlHosts.send(host, StreamOriginCodec.encode(told)));
    }
}
