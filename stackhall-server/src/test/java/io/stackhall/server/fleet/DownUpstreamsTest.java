package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Upstreams that are down, and one that serves but ends connections under probes. */
class DownUpstreamsTest extends ManyHostsFixture {

    private static final int PER_SECOND = 20;

    private void answer(RawHttp.Message request, ScriptedUpstream.Connection to)
            throws IOException {
        if (request.header("x-request-id").isEmpty()) {
            throw new IOException("a probe");
        }
        RelayFixture.pause(20);
        to.plain(request, 200, "ok");
    }

    // Every host took itself for cut off, and for good, with an upstream that it reached.
    @Test
    void callersAreServedByAnUpstreamThatDoesNotAnswerProbes() throws Exception {
        startUpstreams(2, this::answer);
        stopUpstreams();
        traffic(PER_SECOND, Duration.ofSeconds(3));
        announce(startUpstream("i-3", this::answer));
        traffic(PER_SECOND, Duration.ofSeconds(2));
        outcomes.clear();
        traffic(PER_SECOND, Duration.ofSeconds(2));
        assertThat(outcomes).isNotEmpty().allMatch(one -> one.status() == 200);
    }
}
