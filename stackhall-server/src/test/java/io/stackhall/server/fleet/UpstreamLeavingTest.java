package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.clock.BootClock;
import java.io.IOException;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;

/** Upstreams that say in their answers that they leave, while their heartbeats say ready. */
class UpstreamLeavingTest extends ManyHostsFixture {

    /** What was written when a host heard of it arrives within this time. */
    private static final long UNDER_WAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Within this time of the first answer that says so, all hosts that are in touch know it. */
    private static final long TOLD_WITHIN_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A request that came from a host. */
    private record Came(int host, long at) {}

    /** An upstream that says that it leaves while it is told to. */
    private static final class Leaving implements AutoCloseable {
        private final Queue<Came> came = new ConcurrentLinkedQueue<>();
        private final ScriptedUpstream upstream;
        private volatile boolean leaves;
        private volatile long saidAt;

        Leaving(String id) throws IOException {
            upstream = new ScriptedUpstream(id, this::answer);
        }

        private void answer(RawHttp.Message request, ScriptedUpstream.Connection to)
                throws IOException {
            came.add(new Came(host(request), BootClock.nanos()));
            RelayFixture.pause(20);
            if (leaves) {
                saidAt = saidAt == 0 ? BootClock.nanos() : saidAt;
                to.plain(request, 200, "ok", "Server-Leaving: 1");
            } else {
                to.plain(request, 200, "ok");
            }
        }

        long since(long moment) {
            return came.stream().filter(one -> one.at() - moment >= 0).count();
        }

        /** Returns the most requests of one host after the first that it was told by. */
        long mostOfOneHostThatKnew() {
            long most = 0;
            for (int host = 1; host <= HOSTS; host++) {
                int number = host;
                long[] times =
                        came.stream()
                                .filter(one -> one.host() == number && one.at() - saidAt >= 0)
                                .mapToLong(Came::at)
                                .toArray();
                long late = 0;
                for (long time : times) {
                    late += time - times[0] > UNDER_WAY_NANOS ? 1 : 0;
                }
                most = Math.max(most, late);
            }
            return most;
        }

        @Override
        public void close() throws IOException {
            upstream.close();
        }
    }

    @Test
    void upstreamThatLeavesGetsNothingMoreThoughItsHeartbeatsSayReady() throws Exception {
        try (Leaving leaving = upstream("i-1");
                Leaving other = upstream("i-2")) {
            traffic(40, Duration.ofSeconds(1));
            leaving.leaves = true;
            traffic(40, Duration.ofSeconds(4));
            assertThat(leaving.saidAt).isNotZero();
            assertThat(leaving.mostOfOneHostThatKnew()).isZero();
            assertThat(leaving.since(leaving.saidAt + TOLD_WITHIN_NANOS)).isZero();
            assertThat(outcomes).allMatch(outcome -> outcome.status() == 200);
            assertThat(other.came.size()).isGreaterThan(100);
            assertThat(fleet.control(2, "GET", "/-/upstream-limits", "").text())
                    .contains("\"leaving\":[\"i-1\"]");
        }
    }

    @Test
    void upstreamThatLeavesGetsNothingOfHostsThatStartAnew() throws Exception {
        try (Leaving leaving = upstream("i-1");
                Leaving other = upstream("i-2")) {
            leaving.leaves = true;
            traffic(40, Duration.ofSeconds(1));
            assertThat(leaving.saidAt).isNotZero();
            fleet.stop(entries.get(0));
            entries.set(0, fleet.startEntry(1));
            LocalFleet.await("ready again", () -> fleet.ready(1));
            long again = BootClock.nanos();
            traffic(40, Duration.ofSeconds(2));
            assertThat(leaving.since(again)).isZero();
            assertThat(other.since(again)).isGreaterThan(40);
        }
    }

    @Test
    void hostThatIsCutOffFromAllControlHostsKeepsToWhatItHasHeardItself() throws Exception {
        try (Leaving leaving = upstream("i-1");
                Leaving other = upstream("i-2")) {
            traffic(40, Duration.ofSeconds(1));
            for (int number = 0; number < 3; number++) {
                fleet.stop(controls.get(number));
            }
            silence(leaving.upstream);
            silence(other.upstream);
            leaving.leaves = true;
            traffic(40, Duration.ofSeconds(3));
            assertThat(leaving.saidAt).isNotZero();
            assertThat(leaving.mostOfOneHostThatKnew()).isZero();
            assertThat(outcomes).allMatch(outcome -> outcome.status() == 200);
        }
    }

    @Test
    void nextLifeOfAnUpstreamThatLeftIsUsed() throws Exception {
        try (Leaving other = upstream("i-2")) {
            try (Leaving first = new Leaving("i-1")) {
                announce(first.upstream, born(first, 1_733_000_000_000L));
                first.leaves = true;
                traffic(40, Duration.ofSeconds(2));
                assertThat(first.since(first.saidAt + TOLD_WITHIN_NANOS)).isZero();
                silence(first.upstream);
            }
            try (Leaving next = new Leaving("i-1")) {
                announce(next.upstream, born(next, 1_733_000_009_000L));
                traffic(40, Duration.ofSeconds(2));
                assertThat(next.came.size()).isGreaterThan(10);
                assertThat(other.came).isNotEmpty();
            }
        }
    }

    private static LongFunction<String> born(Leaving one, long millis) {
        return beat ->
                one.upstream
                        .heartbeat("plain", "ready", beat, "[]")
                        .replaceFirst("\\{", "{\"born\":" + millis + ",");
    }

    private Leaving upstream(String id) throws Exception {
        Leaving leaving = new Leaving(id);
        announce(leaving.upstream);
        return leaving;
    }
}
