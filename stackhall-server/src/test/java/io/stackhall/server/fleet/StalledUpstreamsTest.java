package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Upstreams of which nothing comes for a time, to any host, and which then go on. */
class StalledUpstreamsTest extends ManyHostsFixture {

    private static final int UPSTREAMS = 3;

    private volatile boolean stalled;

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

    private void goOnAfterAStall() {
        RelayFixture.pause(1600);
        stalled = false;
    }
}
