package io.stackhall.server.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Reads of streams on an event loop in virtual time. */
class PacedReadsTest {

    private static final Duration INTERVAL = Duration.ofMillis(40);

    private final EmbeddedChannel clock = new EmbeddedChannel();
    private final PacedReads reads = new PacedReads(clock.eventLoop(), INTERVAL);
    private final List<String> made = new ArrayList<>();

    @Test
    void allStreamsAreReadAtCommonTimes() {
        clock.freezeTime();
        reads.add(() -> made.add("a"));
        advance(INTERVAL.dividedBy(2));
        reads.add(() -> made.add("b"));
        assertThat(made).isEmpty();
        advance(INTERVAL.dividedBy(2));
        assertThat(made).containsExactly("a", "b");
        advance(INTERVAL);
        assertThat(made).containsExactly("a", "b", "a", "b");
    }

    @Test
    void noTimerRunsOnceTheLastStreamHasEnded() {
        clock.freezeTime();
        Runnable read = () -> made.add("a");
        reads.add(read);
        reads.remove(read);
        advance(INTERVAL);
        assertThat(made).isEmpty();
        assertThat(clock.runScheduledPendingTasks()).isNegative();
    }

    /** A failure here reads a connection that may already carry another request. */
    @Test
    void streamThatAnotherReadHasEndedIsNotRead() {
        clock.freezeTime();
        Runnable second = () -> made.add("second");
        reads.add(() -> reads.remove(second));
        reads.add(second);
        advance(INTERVAL);
        assertThat(made).isEmpty();
    }

    private void advance(Duration time) {
        clock.advanceTimeBy(time.toNanos(), TimeUnit.NANOSECONDS);
        clock.runScheduledPendingTasks();
    }
}
