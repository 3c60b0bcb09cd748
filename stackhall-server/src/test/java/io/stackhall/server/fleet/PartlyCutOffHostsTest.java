package io.stackhall.server.fleet;

import io.stackhall.server.fleet.UpstreamLinks.Failure;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Entry hosts that have lost their links to some upstreams, and hear from others. */
class PartlyCutOffHostsTest extends ManyHostsFixture {

    private static final int UPSTREAMS = 3;

    @AfterEach
    void healLinks() {
        fleet.links().heal();
    }

    // What came from the other service passed for a sign that all links carry.
    @ParameterizedTest
    @CsvSource({"SILENT, 3", "SILENT, 5", "MUTE, 3", "MUTE, 5"})
    void callersOfAServiceThatTheirHostDoesNotReachAreServed(Failure how, int hosts)
            throws Exception {
        startAll();
        List<String> paths = List.of("/safe/x", "/other/x");
        traffic(paths, PER_SECOND, Duration.ofSeconds(1));
        cutOff(how, hosts, UPSTREAMS);
        traffic(paths, PER_SECOND, NOTICED_AFTER);
        outcomes.clear();
        traffic(paths, PER_SECOND, Duration.ofSeconds(4));
        assertMostAreServed();
    }

    // What came from the one upstream that is reached passed for a sign that all links carry.
    @ParameterizedTest
    @EnumSource(names = {"SILENT", "MUTE"})
    void callersOfHostsThatReachOneUpstreamOfThreeAreServed(Failure how) throws Exception {
        startAll();
        traffic(PER_SECOND, Duration.ofSeconds(1));
        cutOff(how, 3, UPSTREAMS - 1);
        traffic(PER_SECOND, NOTICED_AFTER);
        outcomes.clear();
        traffic(PER_SECOND, Duration.ofSeconds(4));
        assertMostAreServed();
    }

    /** Starts the upstreams, of which each host hears from one all the time. */
    private void startAll() throws IOException {
        startAll("plain");
        startAll("other");
        startLongAnswers("/long-other/x");
    }

    private void startAll(String service) throws IOException {
        for (int number = 1; number <= UPSTREAMS; number++) {
            ScriptedUpstream upstream = startUpstream(service + "-" + number, this::answer);
            announce(upstream, beat -> upstream.heartbeat(service, "ready", beat, "[]"));
        }
    }

    private void cutOff(Failure how, int hosts, int ofUpstreams) {
        for (int host = 1; host <= hosts; host++) {
            for (ScriptedUpstream upstream : upstreams().subList(0, ofUpstreams)) {
                fleet.links().fail(host, upstream, how);
            }
        }
    }

    private void answer(RawHttp.Message request, ScriptedUpstream.Connection to)
            throws IOException {
        if (request.startLine().contains("/long-other/")) {
            answerLong(request, to);
        }
        int host = to.socket().getInetAddress().getAddress()[3];
        while (fleet.links().isCut(host, to.socket().getLocalPort())) {
            RelayFixture.pause(20);
        }
        RelayFixture.pause(20);
        to.plain(request, 200, "ok");
    }
}
