package io.stackhall.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Checks that the events of a stream do not depend on how its bytes are split into chunks. */
class EventAssemblerProperties {

    @Property(tries = 300)
    void eventsDoNotDependOnChunkBoundaries(@ForAll long seed) {
        Random random = new Random(seed);
        List<String> events = new ArrayList<>();
        for (int id = 1; id <= 1 + random.nextInt(6); id++) {
            String end = random.nextBoolean() ? "\n" : "\r\n";
            events.add("id: " + id + end + "data: " + "x".repeat(random.nextInt(5)) + end + end);
        }
        String rest = random.nextBoolean() ? "id: 99\ndata" : "";
        byte[] bytes = (String.join("", events) + rest).getBytes(StandardCharsets.UTF_8);
        EventAssembler assembler = new EventAssembler();
        List<String> received = new ArrayList<>();
        List<Long> ids = new ArrayList<>();
        int offset = 0;
        while (offset < bytes.length) {
            int size = Math.min(bytes.length - offset, 1 + random.nextInt(9));
            assembler.add(Unpooled.wrappedBuffer(bytes, offset, size));
            offset += size;
            EventAssembler.Event event = assembler.next();
            while (event != null) {
                received.add(event.bytes().toString(StandardCharsets.UTF_8));
                ids.add(event.id().orElse(-1));
                event = assembler.next();
            }
        }
        assertThat(received).isEqualTo(events);
        assertThat(ids).hasSize(events.size()).startsWith(1L);
        ByteBuf remaining = assembler.remaining();
        assertThat(remaining.toString(StandardCharsets.UTF_8)).isEqualTo(rest);
    }

    @Property(tries = 1)
    void eventWithoutIdFieldHasNoId() {
        EventAssembler assembler = new EventAssembler();
        assembler.add(Unpooled.copiedBuffer("data: x\n\n", StandardCharsets.UTF_8));
        assertThat(assembler.next().id()).isEqualTo(OptionalLong.empty());
    }
}
