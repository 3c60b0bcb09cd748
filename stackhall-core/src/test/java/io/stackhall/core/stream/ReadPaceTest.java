package io.stackhall.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Replays a small host that passes on streams whose events come at moments of their own. */
class ReadPaceTest {

    private static final int STREAMS = 6;
    private static final int SECONDS = 20;
    private static final int MICROS_PER_SECOND = 1_000_000;
    private static final int MAX_EVENT_GAP_MICROS = 60_000;

    @Test
    void oneWakeUpServesSeveralEvents() {
        long interval = ReadPace.interval(List.of(Duration.ofMillis(200))).toNanos() / 1000;
        Random random = new Random(1);
        boolean[] reads = new boolean[(int) (SECONDS * MICROS_PER_SECOND / interval) + 2];
        int events = 0;
        int wakeUps = 0;
        for (int stream = 0; stream < STREAMS; stream++) {
            int at = random.nextInt(MAX_EVENT_GAP_MICROS);
            while (at < SECONDS * MICROS_PER_SECOND) {
                int read = (int) (at / interval) + 1;
                wakeUps += reads[read] ? 0 : 1;
                reads[read] = true;
                events++;
                at += MAX_EVENT_GAP_MICROS / 2 + random.nextInt(MAX_EVENT_GAP_MICROS / 2);
            }
        }
        assertThat((double) events / wakeUps).isGreaterThan(4);
    }

    @Test
    void eventIsDelayedByAFifthOfTheShortestGapAtMost() {
        List<Duration> gaps = List.of(Duration.ZERO, Duration.ofMillis(100), Duration.ofSeconds(1));
        assertThat(ReadPace.interval(gaps)).isEqualTo(Duration.ofMillis(20));
        assertThat(ReadPace.interval(List.of())).isLessThanOrEqualTo(Duration.ofMillis(40));
    }
}
