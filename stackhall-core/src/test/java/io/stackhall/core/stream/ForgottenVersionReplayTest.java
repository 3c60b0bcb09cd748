package io.stackhall.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.fleet.Instances;
import io.stackhall.core.id.HostId;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Replays a version that leaves while one of many entry hosts is out of contact for minutes. */
class ForgottenVersionReplayTest {

    private static final int HOSTS = 95;
    private static final HostId CUT_OFF = new HostId("cut-off");
    private static final Duration LIFE = Duration.ofSeconds(30);
    private static final long MINUTE = 60;
    private static final long DAY = 24 * 60 * MINUTE;

    private final VersionHistory versions = VersionHistory.ofNewFleet();
    private final Instance old = Instances.atVersion("i-1", "v1");

    /** Seconds since the beginning. */
    private long time;

    @Test
    void versionIsForgottenWhileAHostThatIsOutOfContactMayUseIt() {
        begin();
        playUntil(10, true);
        leave();
        playUntil(10 * MINUTE, false);
        assertThat(mayMix()).isTrue();
        assertThat(versions.mayBeUsedUnseen(nanos())).isTrue();
        playUntil(10 * MINUTE + 1, true);
        assertThat(versions.mayBeUsedUnseen(nanos() + Duration.ofSeconds(5).toNanos())).isFalse();
        playUntil(10 * MINUTE + 30, true);
        assertThat(mayMix()).isTrue();
        playUntil(11 * MINUTE, true);
        assertThat(mayMix()).isFalse();
    }

    /** What a host was told just before its links failed may have been lost with them. */
    @Test
    void versionThatLeavesJustBeforeAHostIsLostIsForgotten() {
        begin();
        playUntil(10, true);
        leave();
        playUntil(12, true);
        playUntil(5 * MINUTE, false);
        assertThat(mayMix()).isTrue();
    }

    /** Short streams were taken up before it was noticed that the host is out of contact. */
    @Test
    void versionIsForgottenWhileAHostIsNotMissedYet() {
        begin();
        playUntil(10, true);
        leave();
        playUntil(12, true);
        for (; time < 20; playUntil(time + 1, false)) {
            assertThat(mayMix(Duration.ofSeconds(4))).isTrue();
        }
    }

    /** Entry hosts would record all streams, for a day, after each restart of an instance. */
    @Test
    void versionThatOtherInstancesServeCountsAsGone() {
        begin();
        versions.update(Instances.atVersion("i-3", "v1"), nanos());
        playUntil(10, true);
        leave();
        playUntil(MINUTE, false);
        assertThat(versions.mayBeUsedUnseen(nanos())).isFalse();
    }

    /** The links of all hosts of a large fleet may fail for some seconds, and once more. */
    @Test
    void absencesOfManyHostsHideThatOfTheHostThatUsedTheVersion() {
        begin();
        playUntil(10, true);
        leave();
        playUntil(MINUTE, false);
        versions.inContact(CUT_OFF, nanos());
        for (int host = 0; host < 1_001; host++) {
            versions.inContact(new HostId("further-" + host), nanos());
            versions.inContact(
                    new HostId("further-" + host), nanos() + Duration.ofSeconds(5).toNanos());
        }
        time += 10;
        assertThat(mayMix()).isTrue();
    }

    @Test
    void versionThatAHostKnewToBeGoneIsHeldForIt() {
        begin();
        playUntil(10, true);
        leave();
        playUntil(20, true);
        playUntil(MINUTE, false);
        assertThat(mayMix()).isFalse();
        assertThat(versions.mayBeUsedUnseen(nanos())).isFalse();
    }

    /** Streams could not be proved to be of the one version that is left. */
    @Test
    void versionIsHeldForeverForAHostThatDoesNotComeBack() {
        begin();
        playUntil(10, true);
        leave();
        playUntil(DAY + MINUTE, false);
        assertThat(mayMix()).isFalse();
    }

    private void begin() {
        versions.update(old, nanos());
        versions.update(Instances.atVersion("i-2", "v2"), nanos());
    }

    private void leave() {
        versions.update(old.withState(InstanceState.GONE), nanos());
    }

    private void playUntil(long end, boolean inContact) {
        for (; time < end; time++) {
            for (int host = 0; host < HOSTS; host++) {
                versions.inContact(new HostId("host-" + host), nanos());
            }
            if (inContact) {
                versions.inContact(CUT_OFF, nanos());
            }
        }
    }

    private boolean mayMix() {
        return mayMix(LIFE);
    }

    private boolean mayMix(Duration life) {
        return versions.seen(Instances.SERVICE, life, nanos()).mayMix();
    }

    private long nanos() {
        return Duration.ofSeconds(time).toNanos();
    }
}
