package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.UpstreamLinks.Failure;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Upstreams of which nothing comes for a time, to any host, and which then go on. */
class StalledUpstreamsTest extends ManyHostsFixture {

    private static final int UPSTREAMS = 3;

    /** A request has been written by then, as far as its host and connection allow. */
    private static final long WRITTEN_NANOS = Duration.ofMillis(50).toNanos();

    private volatile boolean stalled;
    private volatile long cutAt;

    @BeforeEach
    void startUpstreams() throws IOException {
        startUpstreams(UPSTREAMS, this::answer);
    }

    @AfterEach
    void goOn() {
        stalled = false;
    }

    private void answer(RawHttp.Message request, ScriptedUpstream.Connection to)
            throws IOException {
        while (stalled) {
            RelayFixture.pause(20);
        }
        RelayFixture.pause(20);
        to.plain(request, 200, "ok");
    }

    // Requests that could have had their answers were ended at once with an unknown outcome.
    @Test
    void requestsUnderWayWaitForTheirAnswersWhileNoOtherPathExists() throws Exception {
        traffic(PER_SECOND, Duration.ofSeconds(1));
        outcomes.clear();
        stalled = true;
        Thread.ofVirtual().start(this::goOnAfterAStall);
        traffic(PER_SECOND, Duration.ofSeconds(3));
        assertThat(outcomes).isNotEmpty().noneMatch(one -> one.status() == 502);
    }

    // Each host gave them up for tunnels of others, which were cut off as well.
    @Test
    void requestsUnderWayGetTheirAnswersAfterACutOfAllHosts() throws Exception {
        traffic(PER_SECOND, Duration.ofSeconds(1));
        outcomes.clear();
        stalled = true;
        Thread.ofVirtual().start(this::cutAllHosts);
        traffic(PER_SECOND, Duration.ofMillis(1200));
        List<Outcome> underWay =
                outcomes.stream().filter(one -> cutAt - one.sentAt() > WRITTEN_NANOS).toList();
        assertThat(underWay).isNotEmpty().allMatch(one -> one.status() == 200);
    }

    private void cutAllHosts() {
        RelayFixture.pause(200);
        cutAt = BootClock.nanos();
        for (int host = 1; host <= HOSTS; host++) {
            for (ScriptedUpstream upstream : upstreams()) {
                fleet.links().fail(host, upstream, Failure.SILENT);
            }
        }
        RelayFixture.pause(1300);
        fleet.links().heal();
        stalled = false;
    }

    private void goOnAfterAStall() {
        RelayFixture.pause(1600);
        stalled = false;
    }
}
