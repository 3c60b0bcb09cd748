package io.stackhall.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.routing.Announcements;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What a host says of its zone, and which hosts hear it. */
class NeighboursTest {

    private static final Neighbours.Speaker SPEAKER =
            new Neighbours.Speaker(new HostId("a"), new ZoneId("yoff"), "127.0.0.1:1", 1, 1);

    @Test
    void zoneIsAnnouncedAsTheSumOfItsOpenUpstreams() {
        List<Announcement> upstreams =
                List.of(
                        Announcements.engine("one", 1, "m", 8, 3),
                        Announcements.engine("two", 1, "n", 4, 1),
                        Announcements.engine("drained", 1, "d", 64, 0),
                        Announcements.engine("leaving", 1, "l", 64, 0).asLeaving());
        Announcement said =
                Neighbours.announcement(
                        SPEAKER, upstreams, new UpstreamId("drained")::equals, false);
        assertThat(said.memory().resident())
                .extracting(held -> held.artifact().id().value())
                .containsExactly("m", "n");
        assertThat(said.load()).isEqualTo(new Announcement.Load(12, 4, 0));
        assertThat(said.leaving()).isFalse();
        assertThat(Neighbours.isNeighbour(said.id())).isTrue();
    }

    @Test
    void onlyAHostThatStopsIsLeaving() {
        Announcement nothingYet = Neighbours.announcement(SPEAKER, List.of(), id -> false, false);
        assertThat(nothingYet.leaving()).isFalse();
        assertThat(nothingYet.memory().resident()).isEmpty();
        List<Announcement> one = List.of(Announcements.engine("one", 1, "m", 8, 3));
        assertThat(Neighbours.announcement(SPEAKER, one, id -> false, true).leaving()).isTrue();
    }

    @Test
    void everyHostIsHeardByAsManyOfAnotherZone() {
        List<HostId> others = new ArrayList<>();
        for (int at = 0; at < 62; at++) {
            others.add(new HostId("host-" + at));
        }
        Map<HostId, Integer> heardBy = new HashMap<>();
        for (int rank = 0; rank < 62; rank++) {
            Neighbours.heardBy(rank, others).forEach(host -> heardBy.merge(host, 1, Integer::sum));
        }
        assertThat(heardBy).hasSize(62);
        assertThat(heardBy.values()).containsOnly(Neighbours.HEARD_PER_ZONE);
        assertThat(Neighbours.heardBy(5, List.of(new HostId("only")))).hasSize(1);
    }
}
