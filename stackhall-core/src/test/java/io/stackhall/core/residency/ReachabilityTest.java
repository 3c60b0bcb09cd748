package io.stackhall.core.residency;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.HostId;
import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests of when an engine is considered lost. */
class ReachabilityTest {

    private static final HostId FIRST = new HostId("h1");
    private static final HostId SECOND = new HostId("h2");

    private final Reachability reachability = new Reachability(Duration.ofSeconds(1));

    @BeforeEach
    void recordFirstHeartbeat() {
        reachability.recordHeartbeat(0);
    }

    @Test
    void silenceAloneDoesNotMakeAnEngineLost() {
        assertThat(lostAfter(60_000)).isFalse();
    }

    @Test
    void refusedConnectionCountsOnceAHeartbeatIsMissed() {
        reachability.recordConnectFailure(FIRST, true);
        assertThat(lostAfter(1200)).isFalse();
        assertThat(lostAfter(1300)).isTrue();
    }

    @Test
    void timeoutsCountOnlyWhenTwoHostsSeeThem() {
        reachability.recordConnectFailure(FIRST, false);
        reachability.recordConnectFailure(FIRST, false);
        assertThat(lostAfter(10_000)).isFalse();
        reachability.recordConnectFailure(SECOND, false);
        assertThat(lostAfter(2200)).isFalse();
        assertThat(lostAfter(2300)).isTrue();
    }

    @Test
    void heartbeatClearsConnectFailures() {
        reachability.recordConnectFailure(FIRST, true);
        reachability.recordHeartbeat(Duration.ofMillis(1500).toNanos());
        assertThat(lostAfter(10_000)).isFalse();
    }

    private boolean lostAfter(long millis) {
        return reachability.isLost(Duration.ofMillis(millis).toNanos());
    }
}
