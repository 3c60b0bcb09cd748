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

/** However the bytes of a stream are cut, the same events come out. */
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
        List<String> seen = new ArrayList<>();
        List<Long> ids = new ArrayList<>();
        int at = 0;
        while (at < bytes.length) {
            int size = Math.min(bytes.length - at, 1 + random.nextInt(9));
            assembler.add(Unpooled.wrappedBuffer(bytes, at, size));
            at += size;
            EventAssembler.Event event = assembler.next();
            while (event != null) {
                seen.add(event.bytes().toString(StandardCharsets.UTF_8));
                ids.add(event.id().orElse(-1));
                event = assembler.next();
            }
        }
        assertThat(seen).isEqualTo(events);
        assertThat(ids).hasSize(events.size()).startsWith(1L);
        ByteBuf left = assembler.remaining();
        assertThat(left.toString(StandardCharsets.UTF_8)).isEqualTo(rest);
    }

    @Property(tries = 1)
    void eventWithoutAnIdHasNone() {
        EventAssembler assembler = new EventAssembler();
        assembler.add(Unpooled.copiedBuffer("data: x\n\n", StandardCharsets.UTF_8));
        assertThat(assembler.next().id()).isEqualTo(OptionalLong.empty());
    }
}
