package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** An old version that only an entry host that is cut off still uses. */
class ForgottenVersionTest extends TakenUpStreamsFixture {

    /** Longer than the life of a stream, for which control hosts remember a version. */
    private static final int SECONDS = 10;

    // Control hosts forget a version that is gone, of which a host that is cut off begins streams.
    @Test
    void streamOfAVersionThatOnlyACutOffEntryHostStillUsesIsNotJoined() throws Exception {
        ScriptedUpstream next = announce("v2", TAKEN_UP_AT);
        pause(300);
        for (int control = 1; control <= CONTROLS; control++) {
            fleet.links().cut("127.0.4." + BEGUN_AT, controlIp(control));
        }
        String path = "/-/instances/" + upstreams.getFirst().id() + "/deregister";
        assertThat(fleet.control(1, "POST", path, "").status()).isEqualTo(200);
        for (int beat = 2; beat < 2 + SECONDS; beat++) {
            pause(1000);
            fleet.heartbeat(1, next, next.heartbeat("plain", "v2", "ready", beat, "[]"));
        }
        List<Begun> begun = beginAll();
        assertThat(begun).extracting(Begun::software).contains("v1");
        takeUpAll(begun, "-cut");
        fleet.links().heal();
        takeUpAll(begun, "-healed");
    }
}
