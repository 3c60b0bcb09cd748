package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.fleet.UpstreamLinks.Failure;
import java.io.IOException;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Entry hosts whose new connections to all upstreams are refused, while older ones live on. */
class RefusedLinksTest extends ManyHostsFixture {

    private static final int UPSTREAMS = 3;

    /** An upstream closes its connection after every so many answers. */
    private static final int ANSWERS_PER_CLOSE = 3;

    private final AtomicInteger answers = new AtomicInteger();
    private final Queue<String> run = new ConcurrentLinkedQueue<>();

    @BeforeEach
    void startUpstreams() throws IOException {
        startUpstreams(UPSTREAMS, this::answer);
    }

    private void answer(RawHttp.Message request, ScriptedUpstream.Connection to)
            throws IOException {
        if (request.startLine().contains("/long")) {
            answerLong(request, to);
        }
        String id = request.header("x-request-id");
        if (id != null && !id.isEmpty()) {
            // A probe has no id.
            run.add(id);
        }
        RelayFixture.pause(20);
        if (answers.incrementAndGet() % ANSWERS_PER_CLOSE > 0) {
            to.plain(request, 200, "ok");
            return;
        }
        to.plain(request, 200, "ok", "Connection: close");
        throw new IOException("closes its connection");
    }

    // Hosts that were cut off as well passed their own refusals on as those of the upstreams.
    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void callersOfHostsWhoseHelpersAreRefusedTooAreServed(int hosts) throws Exception {
        startLongAnswers("/long/x");
        traffic("/once/x", PER_SECOND, Duration.ofSeconds(1));
        cutOff(hosts);
        traffic("/once/x", PER_SECOND, NOTICED_AFTER);
        outcomes.clear();
        traffic("/once/x", PER_SECOND, Duration.ofSeconds(4));
        assertMostAreServed();
        fleet.links().heal();
        outcomes.clear();
        traffic("/once/x", PER_SECOND, Duration.ofSeconds(2));
        assertMostAreServed();
        assertThat(run).as("none has run twice").doesNotHaveDuplicates();
    }

    private void cutOff(int hosts) {
        for (int host = 1; host <= hosts; host++) {
            for (ScriptedUpstream upstream : upstreams()) {
                fleet.links().fail(host, upstream, Failure.REFUSED);
            }
        }
    }
}
