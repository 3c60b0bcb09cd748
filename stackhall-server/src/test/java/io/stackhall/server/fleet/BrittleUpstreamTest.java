package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.clock.BootClock;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Upstreams without a queue that fall over once they have refused some requests in a second. */
class BrittleUpstreamTest extends ManyHostsFixture {

    private static final int TOLERATED_REFUSALS = 2;
    private static final int SLOTS = 4;
    private static final long WORK_MILLIS = 80;

    /** An upstream that refuses what it has no slot for. */
    private static final class Brittle implements AutoCloseable {
        private final ScriptedUpstream upstream;
        private final AtomicInteger running = new AtomicInteger();
        private final Queue<Long> refusedAt = new ConcurrentLinkedQueue<>();

        Brittle(String id) throws IOException {
            upstream = new ScriptedUpstream(id, this::answer);
        }

        private void answer(RawHttp.Message request, ScriptedUpstream.Connection to)
                throws IOException {
            String brittle = "Server-Brittle: " + TOLERATED_REFUSALS;
            if (running.incrementAndGet() > SLOTS) {
                running.decrementAndGet();
                refusedAt.add(BootClock.nanos());
                to.plain(request, 503, "", "X-Not-Run: 1", brittle);
                return;
            }
            RelayFixture.pause(WORK_MILLIS);
            running.decrementAndGet();
            to.plain(request, 200, "ok", brittle);
        }

        /** Returns the most refusals within a second from a moment on. */
        long mostRefusedInASecond(long from) {
            List<Long> times = refusedAt.stream().filter(at -> at - from >= 0).toList();
            long second = TimeUnit.SECONDS.toNanos(1);
            return times.stream()
                    .mapToLong(
                            start ->
                                    times.stream()
                                            .filter(at -> at - start >= 0 && at - start < second)
                                            .count())
                    .max()
                    .orElse(0);
        }

        @Override
        public void close() throws IOException {
            upstream.close();
        }
    }

    @Test
    void sixHostsTogetherGiveBrittleUpstreamsNothingToFallOver() throws Exception {
        List<Brittle> all = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            Brittle one = new Brittle("i-" + number);
            all.add(one);
            announce(one.upstream);
        }
        // A little over half of what they can do, until all hosts have heard of it.
        traffic(70, Duration.ofSeconds(2));
        long from = BootClock.nanos();
        outcomes.clear();
        traffic(110, Duration.ofSeconds(4));
        for (Brittle one : all) {
            assertThat(one.mostRefusedInASecond(from)).isLessThanOrEqualTo(TOLERATED_REFUSALS);
        }
        long failed = outcomes.stream().filter(outcome -> outcome.status() != 200).count();
        assertThat(failed).isLessThanOrEqualTo(outcomes.size() / 50);
        for (Brittle one : all) {
            one.close();
        }
    }
}
