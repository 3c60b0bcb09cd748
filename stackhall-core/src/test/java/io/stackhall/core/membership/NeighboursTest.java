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

/** Tests of the announcement of a zone and of the choice of hosts that receive it. */
class NeighboursTest {

    private static final Neighbours.AnnouncingHost ANNOUNCING_HOST =
            new Neighbours.AnnouncingHost(new HostId("a"), new ZoneId("yoff"), "127.0.0.1:1", 1, 1);

    @Test
    void zoneIsAnnouncedAsTheSumOfItsOpenUpstreams() {
        List<Announcement> upstreams =
                List.of(
                        Announcements.engine("one", 1, "m", 8, 3),
                        Announcements.engine("two", 1, "n", 4, 1),
                        Announcements.engine("drained", 1, "d", 64, 0),
                        Announcements.engine("leaving", 1, "l", 64, 0).asLeaving());
        Announcement announcement =
                Neighbours.zoneAnnouncement(
                        ANNOUNCING_HOST, upstreams, new UpstreamId("drained")::equals, false);
        assertThat(announcement.memory().resident())
                .extracting(held -> held.artifact().id().value())
                .containsExactly("m", "n");
        assertThat(announcement.load()).isEqualTo(new Announcement.Load(12, 4, 0));
        assertThat(announcement.leaving()).isFalse();
        assertThat(Neighbours.isNeighbour(announcement.id())).isTrue();
    }

    @Test
    void hostIsAnnouncedAsLeavingOnlyWhileStopping() {
        Announcement empty =
                Neighbours.zoneAnnouncement(ANNOUNCING_HOST, List.of(), id -> false, false);
        assertThat(empty.leaving()).isFalse();
        assertThat(empty.memory().resident()).isEmpty();
        List<Announcement> one = List.of(Announcements.engine("one", 1, "m", 8, 3));
        assertThat(Neighbours.zoneAnnouncement(ANNOUNCING_HOST, one, id -> false, true).leaving())
                .isTrue();
    }

    @Test
    void neighboursAreSpreadEvenlyOverHosts() {
        List<HostId> others = new ArrayList<>();
        for (int index = 0; index < 62; index++) {
            others.add(new HostId("host-" + index));
        }
        Map<HostId, Integer> assignments = new HashMap<>();
        for (int rank = 0; rank < 62; rank++) {
            Neighbours.neighboursOf(rank, others)
                    .forEach(host -> assignments.merge(host, 1, Integer::sum));
        }
        assertThat(assignments).hasSize(62);
        assertThat(assignments.values()).containsOnly(Neighbours.NEIGHBOURS_PER_ZONE);
        assertThat(Neighbours.neighboursOf(5, List.of(new HostId("only")))).hasSize(1);
    }
}
