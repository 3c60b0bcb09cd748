package io.stackhall.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.SoftwareVersion;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Hosts that record, tell, lose and ask for the origins of streams, in any order. */
class StreamOriginsProperties {

    private static final int HOLDERS = 3;
    private static final int STREAMS = 8;
    private static final int STEPS = 300;
    private static final Duration KEEP = Duration.ofSeconds(10);

    private final Map<StreamKey, StreamOrigin> begun = new HashMap<>();
    private final List<StreamOrigins> holders = new ArrayList<>();
    private long now;

    @Property(tries = 200)
    void streamNeverGoesOnAtAnotherVersion(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        begun.clear();
        holders.clear();
        Random random = new Random(seed);
        for (int holder = 0; holder < HOLDERS; holder++) {
            holders.add(new StreamOrigins());
        }
        for (int step = 0; step < STEPS; step++) {
            now += Duration.ofMillis(random.nextInt(400)).toNanos();
            StreamKey key = StreamKey.of("r" + random.nextInt(STREAMS));
            switch (random.nextInt(5)) {
                case 0, 1 -> tell(random.nextInt(HOLDERS), key, random);
                case 2 -> holders.set(random.nextInt(HOLDERS), new StreamOrigins());
                case 3 -> tellAgain(random.nextInt(HOLDERS), random.nextInt(HOLDERS));
                default -> ask(key, random);
            }
        }
    }

    private void tell(int holder, StreamKey key, Random random) {
        StreamOrigin origin = begun.computeIfAbsent(key, one -> origin("v" + random.nextInt(3)));
        holders.get(holder).remember(key, origin, KEEP, now);
    }

    private void tellAgain(int from, int to) {
        for (StreamOrigins.Memory memory : holders.get(from).all(now)) {
            holders.get(to).remember(memory.key(), memory.origin(), memory.remaining(), now);
        }
    }

    private void ask(StreamKey key, Random random) {
        List<HostId> hosts = List.of(new HostId("a"), new HostId("b"), new HostId("c"));
        VersionsSeen mixed = OriginInquiryTest.seen(Duration.ofDays(1), "v0", "v1", "v2");
        OriginInquiry inquiry =
                new OriginInquiry(Optional.of(OriginInquiryTest.SERVICE), KEEP, mixed, List.of());
        hosts.forEach(inquiry::sent);
        int first = random.nextInt(HOLDERS);
        for (int turn = 0; turn < HOLDERS; turn++) {
            int holder = (first + turn) % HOLDERS;
            inquiry.answer(
                            hosts.get(holder),
                            new OriginAnswer(holders.get(holder).find(key, now), mixed, HOLDERS))
                    .filter(TakeUp.GoOn.class::isInstance)
                    .map(TakeUp.GoOn.class::cast)
                    .ifPresent(go -> assertThat(go.origin()).isEqualTo(begun.get(key)));
        }
    }

    private static StreamOrigin origin(String software) {
        return new StreamOrigin(new ServiceName("llm"), new SoftwareVersion(software));
    }
}
