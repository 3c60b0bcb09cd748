package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.fleet.PrimarySelector;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.server.clock.BootClock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Upstreams of a new version that join while a control and an entry host are cut off. */
class CutOffDuringRolloutTest extends TakenUpStreamsFixture {

    // The others vouched for a single version until they noticed that a control host was cut off.
    @Test
    void streamOfAVersionThatOnlyACutOffControlHostKnowsIsNotJoined() throws Exception {
        Begun old = begin("old");
        LocalFleet.await("one version goes on", () -> takeUp(old, "-0").status() == 200);
        int primary = primary();
        cutOff(primary);
        announce("v2", primary);
        pause(60);
        List<Begun> begun = beginAll();
        assertThat(begun).extracting(Begun::software).contains("v2");
        for (int round = 0; round < 4; round++) {
            takeUpAll(begun, "-cut" + round);
            pause(200);
        }
        fleet.links().heal();
        for (int round = 0; round < 4; round++) {
            takeUpAll(begun, "-healed" + round);
            pause(200);
        }
        int goingOn = 0;
        for (int round = 0; round < 5 && goingOn < STREAMS * 9 / 10; round++) {
            goingOn = takeUpAll(begun, "-later" + round);
            pause(300);
        }
        assertThat(goingOn).isGreaterThanOrEqualTo(STREAMS * 9 / 10);
    }

    /** Cuts a control host and the entry host that follows it off from all others. */
    private void cutOff(int control) {
        for (int other = 1; other <= CONTROLS; other++) {
            if (other != control) {
                fleet.links().cut(controlIp(control), controlIp(other));
                fleet.links().cut("127.0.4." + BEGUN_AT, controlIp(other));
            }
        }
        fleet.links().cut(controlIp(control), "127.0.4." + TAKEN_UP_AT);
    }

    /** Returns the control host that tells the entry host of upstreams that join. */
    private int primary() {
        ZoneId zone = new ZoneId("plateau");
        Map<HostId, ZoneId> connected = new HashMap<>();
        IntStream.rangeClosed(1, CONTROLS)
                .forEach(number -> connected.put(peer(controlIp(number)), zone));
        HostId self = peer("127.0.4." + BEGUN_AT);
        HostId primary =
                new PrimarySelector(self, zone).select(connected, BootClock.nanos()).orElseThrow();
        return IntStream.rangeClosed(1, CONTROLS)
                .filter(number -> peer(controlIp(number)).equals(primary))
                .findFirst()
                .orElseThrow();
    }

    private HostId peer(String ip) {
        return new HostId(fleet.peers(ip).toString());
    }
}
