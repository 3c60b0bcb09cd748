package io.stackhall.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests of the selection of the primary control host. */
class PrimarySelectorTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final ZoneId HERE = new ZoneId("here");
    private static final ZoneId THERE = new ZoneId("there");
    private static final HostId LOCAL = new HostId("10.1.0.1:7");
    private static final HostId REMOTE = new HostId("10.2.0.1:7");

    private final PrimarySelector selector = new PrimarySelector(new HostId("10.1.0.9:7"), HERE);

    @Test
    void hostOfTheOwnZoneIsPreferred() {
        assertThat(selector.select(Map.of(LOCAL, HERE, REMOTE, THERE), 0)).contains(LOCAL);
    }

    @Test
    void hostOfAnotherZoneIsUsedWhereTheOwnHasNone() {
        assertThat(selector.select(Map.of(REMOTE, THERE), 0)).contains(REMOTE);
        assertThat(selector.select(Map.of(), 0)).isEmpty();
    }

    @Test
    void hostWithoutALeaderIsAvoidedForAWhile() {
        Map<HostId, ZoneId> both = Map.of(LOCAL, HERE, REMOTE, THERE);
        selector.recordDecline(LOCAL, 0);
        assertThat(selector.select(both, SECOND)).contains(REMOTE);
        assertThat(selector.select(both, 3 * SECOND)).contains(LOCAL);
    }

    @Test
    void hostWithoutALeaderIsBetterThanNone() {
        selector.recordDecline(LOCAL, 0);
        assertThat(selector.select(Map.of(LOCAL, HERE), SECOND)).contains(LOCAL);
    }

    @Test
    void hostsOfAZoneAreSpreadOverItsControlHosts() {
        Map<HostId, ZoneId> three = new HashMap<>();
        for (int number = 1; number <= 3; number++) {
            three.put(new HostId("10.1.0." + number + ":7380"), HERE);
        }
        Map<HostId, Integer> taken = new HashMap<>();
        for (int number = 10; number < 100; number++) {
            HostId entry = new HostId("10.1.0." + number + ":7380");
            taken.merge(
                    new PrimarySelector(entry, HERE).select(three, 0).orElseThrow(),
                    1,
                    Integer::sum);
        }
        assertThat(taken.values()).hasSize(3).allMatch(count -> count >= 15 && count <= 45);
    }
}
