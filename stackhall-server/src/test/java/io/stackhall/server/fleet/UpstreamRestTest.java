package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.clock.BootClock;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Upstreams that turn hosts away for a while, and say for how long they want nothing more. */
class UpstreamRestTest extends ManyHostsFixture {

    /** Requests under way when a host is told reach the upstream within this time. */
    private static final long UNDER_WAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** An upstream forgives a host this many requests in a rest. */
    private static final int FORGIVEN = 2;

    private static final Duration REST = Duration.ofSeconds(3);

    /** A request that came from a host, whether it was turned away, and for how long. */
    private record Came(int host, long at, boolean turnedAway, Duration rest) {}

    /** An upstream that turns requests away while it is told to. */
    private static final class Resting implements AutoCloseable {
        private final Queue<Came> came = new ConcurrentLinkedQueue<>();
        private final ScriptedUpstream upstream;
        private volatile boolean inNeed;
        private volatile Duration rest = REST;

        Resting(String id) throws IOException {
            upstream = new ScriptedUpstream(id, this::answer);
        }

        private void answer(RawHttp.Message request, ScriptedUpstream.Connection to)
                throws IOException {
            boolean away = inNeed;
            came.add(new Came(host(request), BootClock.nanos(), away, rest));
            if (away) {
                String seconds = String.valueOf(rest.toMillis() / 1000.0);
                to.plain(request, 503, "", "X-Not-Run: 1", "Retry-After: " + seconds);
            } else {
                RelayFixture.pause(20);
                to.plain(request, 200, "ok");
            }
        }

        long since(long moment) {
            return came.stream().filter(one -> one.at() - moment >= 0).count();
        }

        /** Returns the most requests that came from one host in a rest that it was asked for. */
        int mostInOneRest() {
            int most = 0;
            for (Came asked : came) {
                if (asked.turnedAway()) {
                    long from = asked.at() + UNDER_WAY_NANOS;
                    long end = asked.at() + asked.rest().toNanos();
                    most = Math.max(most, from(asked.host(), from, end));
                }
            }
            return most;
        }

        private int from(int host, long from, long end) {
            return (int)
                    came.stream()
                            .filter(one -> one.host() == host)
                            .filter(one -> one.at() - from >= 0 && one.at() - end < 0)
                            .count();
        }

        @Override
        public void close() throws IOException {
            upstream.close();
        }
    }

    @Test
    void upstreamInNeedIsLeftAloneWhileOthersServeAllCallers() throws Exception {
        try (Resting resting = upstream("i-1");
                Resting second = upstream("i-2");
                Resting third = upstream("i-3")) {
            traffic(40, Duration.ofSeconds(1));
            resting.inNeed = true;
            traffic(40, Duration.ofSeconds(8));
            resting.inNeed = false;
            long well = BootClock.nanos();
            assertThat(resting.mostInOneRest()).isLessThanOrEqualTo(FORGIVEN);
            assertThat(outcomes).allMatch(outcome -> outcome.status() == 200);
            traffic(40, REST.plusSeconds(3));
            long late = well + REST.plusSeconds(1).toNanos();
            assertThat(resting.since(late)).as("used again").isGreaterThan(10);
            assertThat(outcomes).allMatch(outcome -> outcome.status() == 200);
            assertThat(second.came.size() + third.came.size()).isGreaterThan(200);
        }
    }

    @Test
    void requestThatMayBeSentOnceIsServedByAnotherThanWhoTurnedItAway() throws Exception {
        try (Resting resting = upstream("i-1");
                Resting second = upstream("i-2")) {
            resting.inNeed = true;
            traffic("/once/x", 40, Duration.ofSeconds(4));
            assertThat(resting.came).isNotEmpty();
            assertThat(outcomes).allMatch(outcome -> outcome.status() == 200);
            assertThat(second.came).hasSize(outcomes.size());
        }
    }

    @Test
    void callersOfTheOnlyUpstreamAreToldAtOnceWhenItsRestEnds() throws Exception {
        try (Resting resting = upstream("i-1")) {
            resting.inNeed = true;
            long begun = BootClock.nanos();
            traffic(40, Duration.ofSeconds(2));
            assertThat(resting.mostInOneRest()).isLessThanOrEqualTo(FORGIVEN);
            assertThat(outcomes).allMatch(outcome -> outcome.status() == 503);
            assertThat(outcomes).allMatch(one -> one.took().compareTo(Duration.ofMillis(400)) < 0);
            List<Outcome> later =
                    outcomes.stream()
                            .filter(one -> one.sentAt() - begun > TimeUnit.SECONDS.toNanos(1))
                            .toList();
            assertThat(later).allMatch(one -> Double.parseDouble(one.retryAfter()) > 0.5);
        }
    }

    @Test
    void callersOfTheOnlyUpstreamWaitForARestThatEndsInTime() throws Exception {
        try (Resting resting = upstream("i-1")) {
            resting.rest = Duration.ofMillis(150);
            resting.inNeed = true;
            Thread turn = Thread.startVirtualThread(() -> recover(resting));
            traffic(40, Duration.ofSeconds(2));
            turn.join();
            assertThat(resting.came).anyMatch(Came::turnedAway);
            assertThat(outcomes).allMatch(outcome -> outcome.status() == 200);
        }
    }

    private static void recover(Resting resting) {
        RelayFixture.pause(100);
        resting.inNeed = false;
    }

    @Test
    void restOfTheLifeBeforeIsNotOwedToTheNextOne() throws Exception {
        try (Resting first = new Resting("i-1")) {
            announce(first.upstream, beat -> born(first, 1_733_000_000_000L, beat));
            first.rest = Duration.ofSeconds(60);
            first.inNeed = true;
            traffic(40, Duration.ofSeconds(1));
            silence(first.upstream);
        }
        try (Resting next = new Resting("i-1")) {
            announce(next.upstream, beat -> born(next, 1_733_000_009_000L, beat));
            long from = BootClock.nanos();
            traffic(40, Duration.ofSeconds(1));
            assertThat(outcomes)
                    .filteredOn(one -> one.sentAt() - from >= 0)
                    .allMatch(one -> one.status() == 200);
        }
    }

    private static String born(Resting one, long millis, long beat) {
        return one.upstream
                .heartbeat("plain", "ready", beat, "[]")
                .replaceFirst("\\{", "{\"born\":" + millis + ",");
    }

    private Resting upstream(String id) throws Exception {
        Resting resting = new Resting(id);
        announce(resting.upstream);
        return resting;
    }
}
