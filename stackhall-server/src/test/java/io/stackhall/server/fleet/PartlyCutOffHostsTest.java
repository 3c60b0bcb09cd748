package io.stackhall.server.fleet;

import io.stackhall.server.fleet.UpstreamLinks.Failure;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Entry hosts that have lost their links to some upstreams, in silence, and hear from others. */
class PartlyCutOffHostsTest extends ManyHostsFixture {

    private static final int UPSTREAMS = 3;

    @AfterEach
    void healLinks() {
        fleet.links().heal();
    }

    // What came from the other service passed for a sign that all links carry.
    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void callersOfAServiceThatTheirHostDoesNotReachAreServed(int hosts) throws Exception {
        startAll("plain", UPSTREAMS);
        startAll("other", UPSTREAMS);
        List<String> paths = List.of("/safe/x", "/other/x");
        traffic(paths, PER_SECOND, Duration.ofSeconds(1));
        cutOff(hosts, UPSTREAMS);
        traffic(paths, PER_SECOND, NOTICED_AFTER);
        outcomes.clear();
        traffic(paths, PER_SECOND, Duration.ofSeconds(4));
        assertMostAreServed();
    }

    // What came from the one upstream that is reached passed for a sign that all links carry.
    @Test
    void callersOfHostsThatReachOneUpstreamOfThreeAreServed() throws Exception {
        startAll("plain", UPSTREAMS);
        traffic(PER_SECOND, Duration.ofSeconds(1));
        cutOff(3, UPSTREAMS - 1);
        traffic(PER_SECOND, NOTICED_AFTER);
        outcomes.clear();
        traffic(PER_SECOND, Duration.ofSeconds(4));
        assertMostAreServed();
    }

    private void startAll(String service, int count) throws IOException {
        for (int number = 1; number <= count; number++) {
            ScriptedUpstream upstream = startUpstream(service + "-" + number, this::answer);
            announce(upstream, beat -> upstream.heartbeat(service, "ready", beat, "[]"));
        }
    }

    private void cutOff(int hosts, int ofUpstreams) throws IOException {
        for (int host = 1; host <= hosts; host++) {
            for (ScriptedUpstream upstream : upstreams().subList(0, ofUpstreams)) {
                fleet.links().fail(host, upstream, Failure.SILENT);
            }
        }
    }

    private void answer(RawHttp.Message request, ScriptedUpstream.Connection to)
            throws IOException {
        int host = to.socket().getInetAddress().getAddress()[3];
        while (fleet.links().isCut(host, to.socket().getLocalPort())) {
            RelayFixture.pause(20);
        }
        RelayFixture.pause(20);
        to.plain(request, 200, "ok");
    }
}
