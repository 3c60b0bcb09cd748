package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Entry hosts that have lost their links to all upstreams, while callers still reach them. */
class CutOffHostsTest extends ManyHostsFixture {

    private static final int UPSTREAMS = 3;

    /** How the connections of a host that is cut off fail. */
    enum Cut {
        SILENT,
        RESET,
        /** Connections on which an answer has come before the cut live on. */
        RESET_NEW
    }

    private final Set<Integer> cutHosts = ConcurrentHashMap.newKeySet();
    private final Queue<String> run = new ConcurrentLinkedQueue<>();
    private final Set<Socket> answered = ConcurrentHashMap.newKeySet();
    private volatile Cut cut = Cut.SILENT;

    @BeforeEach
    void startUpstreams() throws IOException {
        startUpstreams(UPSTREAMS, this::answer);
    }

    @AfterEach
    void endCut() {
        cutHosts.clear();
    }

    private void answer(RawHttp.Message request, ScriptedUpstream.Connection to)
            throws IOException {
        int host = to.socket().getInetAddress().getAddress()[3];
        boolean livesOn = cut == Cut.RESET_NEW && answered.contains(to.socket());
        if (cutHosts.contains(host) && !livesOn) {
            if (cut != Cut.SILENT) {
                to.reset();
            }
            while (cutHosts.contains(host)) {
                RelayFixture.pause(20);
            }
            throw new IOException("lost on the way");
        }
        String id = request.header("x-request-id");
        if (id != null && !id.isEmpty()) {
            // A probe has no id.
            run.add(id);
        }
        answered.add(to.socket());
        RelayFixture.pause(20);
        to.plain(request, 200, "ok");
    }

    @ParameterizedTest
    @CsvSource({
        "SILENT, 2, /safe/x",
        "RESET, 2, /once/x",
        "SILENT, 5, /once/x",
        "RESET, 5, /safe/x",
        "RESET_NEW, 3, /once/x"
    })
    void callersOfHostsThatReachNoUpstreamAreServedByWayOfOthers(Cut how, int hosts, String path)
            throws Exception {
        traffic(path, PER_SECOND, Duration.ofSeconds(1));
        cut = how;
        cutOff(hosts);
        traffic(path, PER_SECOND, NOTICED_AFTER);
        outcomes.clear();
        traffic(path, PER_SECOND, Duration.ofSeconds(4));
        assertMostAreServed();
        cutHosts.clear();
        outcomes.clear();
        traffic(path, PER_SECOND, Duration.ofSeconds(2));
        assertMostAreServed();
        if (path.startsWith("/once/")) {
            assertThat(run).as("none has run twice").doesNotHaveDuplicates();
        }
    }

    @Test
    void callersAreRefusedAtOnceWhileNoHostReachesAnUpstream() throws Exception {
        traffic(PER_SECOND, Duration.ofSeconds(1));
        cutOff(HOSTS);
        traffic(PER_SECOND, NOTICED_AFTER);
        outcomes.clear();
        traffic(PER_SECOND, Duration.ofSeconds(2));
        assertThat(outcomes).isNotEmpty().allMatch(one -> one.status() == 503);
        assertThat(outcomes).allMatch(one -> one.took().compareTo(Duration.ofMillis(400)) < 0);
        assertThat(outcomes).allMatch(one -> Double.parseDouble(one.retryAfter()) > 0);
    }

    // The callers of a cut host depend on another one, which may end at any moment.
    @Test
    void callersOfCutHostsAreServedAfterAHostThatHelpedThemIsGone() throws Exception {
        traffic("/once/x", PER_SECOND, Duration.ofSeconds(1));
        cutOff(2);
        traffic("/once/x", PER_SECOND, NOTICED_AFTER);
        fleet.stop(entries.get(HOSTS - 1));
        outcomes.clear();
        traffic("/once/x", PER_SECOND, Duration.ofSeconds(4));
        assertMostAreServed();
        assertThat(run).as("none has run twice").doesNotHaveDuplicates();
    }

    // A host that is cut off and reaches its upstreams by turns was to serve its callers in both.
    @Test
    void callersOfHostsThatAreCutOffAgainAndAgainAreServed() throws Exception {
        traffic(PER_SECOND, Duration.ofSeconds(1));
        cut = Cut.RESET;
        outcomes.clear();
        for (int turn = 0; turn < 3; turn++) {
            cutOff(2);
            traffic(PER_SECOND, Duration.ofSeconds(2));
            cutHosts.clear();
            traffic(PER_SECOND, Duration.ofSeconds(2));
        }
        long sent = outcomes.stream().filter(one -> one.host() <= 2).count();
        long served =
                outcomes.stream().filter(one -> one.host() <= 2 && one.status() == 200).count();
        assertThat(served).isGreaterThan(sent * 2 / 3);
        long failed = outcomes.stream().filter(one -> one.status() != 200).count();
        assertThat(failed).isLessThanOrEqualTo(10 + outcomes.size() / TOLERATED_SHARE);
    }

    private void cutOff(int hosts) {
        for (int host = 1; host <= hosts; host++) {
            cutHosts.add(host);
        }
    }
}
