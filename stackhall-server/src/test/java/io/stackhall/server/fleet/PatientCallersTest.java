package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Callers that wait for longer than twice their route's timeout, and take streams up late. */
class PatientCallersTest extends TakenUpStreamsFixture {

    /** More than twice the route's timeout. */
    private static final int SECONDS = 10;

    @Override
    int callersWaitMillis() {
        return 2 * SECONDS * 1000;
    }

    // Hosts forgot where a stream began while its caller still waited.
    @Test
    void streamOfVersionsSideBySideGoesOnThoughItsCallerComesLate() throws Exception {
        announce("v2", TAKEN_UP_AT);
        pause(300);
        List<Begun> begun = beginAll();
        keepReady();
        assertThat(takeUpAll(begun, "-late")).isGreaterThanOrEqualTo(STREAMS * 9 / 10);
    }

    private void keepReady() throws IOException {
        for (int beat = 2; beat < 2 + SECONDS; beat++) {
            pause(1000);
            for (ScriptedUpstream one : upstreams) {
                String heartbeat = one.heartbeat("plain", one.id(), "ready", beat, "[]");
                fleet.heartbeat(TAKEN_UP_AT, one, heartbeat);
            }
        }
    }
}
