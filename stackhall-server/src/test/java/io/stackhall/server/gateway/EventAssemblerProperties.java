package io.stackhall.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.stackhall.core.answer.BodyFraming;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Checks which events of a stream come whole, wherever its bytes are split or broken off. */
class EventAssemblerProperties {

    private static final List<String> LINE_ENDS = List.of("\n", "\r\n", "\r");

    @Property(tries = 300)
    void eventsDoNotDependOnChunkBoundaries(@ForAll long seed) {
        Random random = new Random(seed);
        List<String> events = events(random);
        String rest = random.nextBoolean() ? "id: 99\ndata" : "";
        Received received = receive(String.join("", events) + rest, random);
        assertThat(received.events).isEqualTo(events);
        assertThat(received.ids).hasSize(events.size()).startsWith(1L);
        assertThat(received.rest).isEqualTo(rest);
    }

    // Half of an event was passed on as if it were the end of the stream.
    @Property(tries = 1000)
    void streamThatIsBrokenOffIsWholeOnlyBetweenEvents(
            @ForAll long seed, @ForAll @IntRange(max = 400) int cut) {
        Random random = new Random(seed);
        List<String> events = events(random);
        String stream = String.join("", events);
        Received received = receive(stream.substring(0, Math.min(cut, stream.length())), random);
        String passedOn = String.join("", received.events);
        boolean betweenEvents = passedOn.length() == Math.min(cut, stream.length());
        assertThat(received.whole).isEqualTo(betweenEvents);
        assertThat(events.subList(0, received.events.size())).isEqualTo(received.events);
        List<String> resumed = events.subList(received.events.size(), events.size());
        assertThat(passedOn + String.join("", resumed)).isEqualTo(stream);
    }

    @Example
    void eventWithoutIdFieldHasNoId() {
        EventAssembler assembler = new EventAssembler();
        assembler.add(Unpooled.copiedBuffer("data: x\n\n", StandardCharsets.UTF_8));
        assertThat(assembler.next().id()).isEqualTo(OptionalLong.empty());
    }

    // A stream whose last lines carry no event was not to be taken for broken.
    @Example
    void commentsAndEmptyLinesAfterTheLastEventDoNotBreakAStream() {
        Received received = receive("data: x\n\n: still here\n\r\n", new Random(1));
        assertThat(received.whole).isTrue();
        assertThat(String.join("", received.events) + received.rest).endsWith("here\n\r\n");
    }

    /** What an assembler makes of a stream. */
    private record Received(List<String> events, List<Long> ids, boolean whole, String rest) {}

    private static List<String> events(Random random) {
        String end = LINE_ENDS.get(random.nextInt(LINE_ENDS.size()));
        List<String> events = new ArrayList<>();
        for (int id = 1; id <= 1 + random.nextInt(6); id++) {
            events.add("id: " + id + end + "data: " + "x".repeat(random.nextInt(5)) + end + end);
        }
        return events;
    }

    /** Adds a stream in parts of random sizes. */
    private static Received receive(String stream, Random random) {
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        EventAssembler assembler = new EventAssembler();
        List<String> events = new ArrayList<>();
        List<Long> ids = new ArrayList<>();
        int offset = 0;
        while (offset < bytes.length) {
            int size = Math.min(bytes.length - offset, 1 + random.nextInt(9));
            assembler.add(Unpooled.wrappedBuffer(bytes, offset, size));
            offset += size;
            EventAssembler.Event event = assembler.next();
            while (event != null) {
                events.add(event.bytes().toString(StandardCharsets.UTF_8));
                ids.add(event.id().orElse(-1));
                event = assembler.next();
            }
        }
        boolean whole = assembler.end(BodyFraming.CONNECTION, false).isWhole();
        String rest = assembler.remaining().toString(StandardCharsets.UTF_8);
        return new Received(events, ids, whole, rest);
    }
}
