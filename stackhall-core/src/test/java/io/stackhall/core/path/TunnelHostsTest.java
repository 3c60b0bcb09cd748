package io.stackhall.core.path;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The hosts that help one that reaches no upstream. */
class TunnelHostsTest {

    private static final ZoneId NEAR = new ZoneId("near");
    private static final ZoneId FAR = new ZoneId("far");

    private static final UpstreamId UPSTREAM = UpstreamId.parse("i-1");
    private static final UpstreamId OTHER = UpstreamId.parse("i-2");

    private final TunnelHosts hosts = new TunnelHosts(NEAR, new Random(1));

    @Test
    void tunnelsGoThroughTheOwnZoneUntilItsHostsHaveMore() {
        hosts.replace(List.of(host(1, NEAR), host(2, NEAR), host(3, FAR)));
        Map<HostId, Integer> used = new HashMap<>();
        for (int i = 0; i < 14; i++) {
            HostId chosen = hosts.choose(UPSTREAM, 0).orElseThrow();
            hosts.opened(chosen);
            used.merge(chosen, 1, Integer::sum);
        }
        assertThat(used.get(id(1))).isBetween(5, 6);
        assertThat(used.get(id(2))).isBetween(5, 6);
        assertThat(used.get(id(3))).isBetween(2, 3);
    }

    @Test
    void hostThatDeclinesIsAvoidedForASecond() {
        hosts.replace(List.of(host(1, NEAR)));
        hosts.failed(id(1), 0);
        assertThat(hosts.isAvailable(0)).isFalse();
        assertThat(hosts.choose(UPSTREAM, Duration.ofSeconds(1).toNanos())).contains(id(1));
    }

    // One upstream that a host did not reach kept it from helping with all others.
    @Test
    void hostThatDoesNotReachAnUpstreamIsAvoidedForThatOneAlone() {
        hosts.replace(List.of(host(1, NEAR)));
        hosts.unreached(id(1), UPSTREAM, 0);
        assertThat(hosts.choose(UPSTREAM, 0)).isEmpty();
        assertThat(hosts.isAvailable(UPSTREAM, 0)).isFalse();
        assertThat(hosts.choose(OTHER, 0)).contains(id(1));
        assertThat(hosts.choose(UPSTREAM, Duration.ofSeconds(1).toNanos())).contains(id(1));
    }

    // Requests went through hosts that were cut off too and did not know it yet.
    @Test
    void hostThroughWhichAnUpstreamHasAnsweredGoesFirst() {
        hosts.replace(List.of(host(1, NEAR), host(2, NEAR), host(3, FAR)));
        hosts.reached(id(3), UPSTREAM, 0);
        assertThat(hosts.choose(UPSTREAM, 3, 0)).hasSize(3).startsWith(id(3));
        assertThat(hosts.choose(OTHER, 0)).isNotEqualTo(Optional.of(id(3)));
        hosts.unreached(id(3), UPSTREAM, 1);
        assertThat(hosts.choose(UPSTREAM, 3, 1)).hasSize(2).doesNotContain(id(3));
    }

    @Test
    void impairedHostsOfTheOwnZoneComeAfterSoundOnesOfOthers() {
        hosts.replace(List.of(new TunnelHost(id(1), NEAR, true), host(2, FAR)));
        assertThat(hosts.choose(UPSTREAM, 0)).contains(id(2));
        TunnelRing ring =
                new TunnelRing(
                        IntStream.rangeClosed(1, 6)
                                .mapToObj(number -> new TunnelHost(id(number), NEAR, number > 1))
                                .toList());
        assertThat(ring.hostsFor(id(9), NEAR)).hasSize(4).contains(host(1, NEAR));
    }

    /** Whoever is cut off, the load of the cut hosts is shared by the others of their zone. */
    @Test
    void ringSharesTheLoadOfAnyCutAmongTheOthers() {
        Random random = new Random(3);
        for (int round = 0; round < 50; round++) {
            List<TunnelHost> all = fleet(95);
            List<TunnelHost> sound = new ArrayList<>(all);
            sound.removeIf(one -> random.nextInt(100) < 30);
            TunnelRing ring = new TunnelRing(sound);
            Map<HostId, Integer> asked = new HashMap<>();
            for (TunnelHost host : all) {
                List<TunnelHost> given = ring.hostsFor(host.id(), host.zone());
                assertThat(given).hasSize(8).doesNotHaveDuplicates().doesNotContain(host);
                assertThat(given.subList(0, 4)).allMatch(one -> one.zone().equals(host.zone()));
                assertThat(sound).containsAll(given);
                if (!sound.contains(host)) {
                    given.forEach(one -> asked.merge(one.id(), 1, Integer::sum));
                }
            }
            // A host with eight others gives each an eighth of its load: at most that of two hosts.
            assertThat(asked.values()).allMatch(count -> count <= 2 * 8);
        }
    }

    @Test
    void hostsOfAnotherZoneHelpAZoneThatIsCutOffWhole() {
        List<TunnelHost> sound = fleet(9).stream().filter(one -> !one.zone().equals(NEAR)).toList();
        assertThat(new TunnelRing(sound).hostsFor(id(0), NEAR)).hasSize(4);
    }

    private static List<TunnelHost> fleet(int size) {
        List<ZoneId> zones = List.of(NEAR, FAR, new ZoneId("third"));
        return IntStream.range(0, size)
                .mapToObj(number -> host(number, zones.get(number % zones.size())))
                .toList();
    }

    private static TunnelHost host(int number, ZoneId zone) {
        return new TunnelHost(id(number), zone, false);
    }

    private static HostId id(int number) {
        return new HostId("10.1.0." + number + ":7540");
    }
}
