package io.stackhall.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.config.Priority;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** How the router chooses among upstreams. */
class RouterTest {

    private static final Target TARGET = new Target.Model(new ModelId("m"));
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final Router router = new Router(RoutingSettings.standard(), new Random(3));
    private long now = 100 * SECOND;

    @Test
    void onlyUpstreamsThatHoldTheModelAreChosen() {
        router.announced(Announcements.engine("other", 1, "x", 8, 0), now);
        assertThat(choose()).isEmpty();
        router.announced(Announcements.engine("right", 1, "m", 8, 0), now);
        assertThat(choose()).contains(new UpstreamId("right"));
    }

    @Test
    void ownDispatchesCorrectAStaleReport() {
        router.announced(Announcements.engine("a", 1, "m", 8, 0), now);
        router.announced(Announcements.engine("b", 1, "m", 8, 0), now);
        now += 10 * SECOND;
        Map<UpstreamId, Integer> counts = new HashMap<>();
        for (int at = 0; at < 12; at++) {
            UpstreamId chosen = choose().orElseThrow();
            router.sent(chosen);
            counts.merge(chosen, 1, Integer::sum);
        }
        assertThat(counts.values()).allSatisfy(count -> assertThat(count).isBetween(4, 8));
    }

    @Test
    void failingUpstreamIsEjectedAndReadmittedByOneProbe() {
        router.announced(Announcements.engine("a", 1, "m", 8, 0), now);
        end(AttemptResult.FAILED, 3);
        assertThat(choose()).isEmpty();
        now += 3 * SECOND;
        UpstreamId probe = choose().orElseThrow();
        router.sent(probe);
        assertThat(choose()).as("one probe at a time").isEmpty();
        router.ended(probe, AttemptResult.SERVED, now);
        assertThat(choose()).isPresent();
    }

    @Test
    void upstreamThatDeclinesItsProbeIsNotEjectedForEver() {
        router.announced(Announcements.engine("a", 1, "m", 8, 5), now);
        now += 10 * SECOND;
        end(AttemptResult.FAILED, 3);
        now += 3 * SECOND;
        UpstreamId probe = choose().orElseThrow();
        router.sent(probe);
        router.ended(probe, AttemptResult.OVERLOADED, now);
        router.announced(Announcements.engine("a", 2, "m", 8, 0), now);
        assertThat(choose()).isPresent();
    }

    @Test
    void shareOfTheLimitIsReservedForUrgentRequests() {
        router.announced(Announcements.engine("a", 1, "m", 8, 6), now);
        now += 10 * SECOND;
        assertThat(choose(Priority.NORMAL, Reach.ALL_ZONES)).isEmpty();
        assertThat(choose(Priority.URGENT, Reach.ALL_ZONES)).isPresent();
    }

    @Test
    void newUpstreamStartsSlowly() {
        router.announced(Announcements.engine("a", 1, "m", 100, 0), now);
        int sent = 0;
        while (choose().isPresent()) {
            router.sent(choose().orElseThrow());
            sent++;
        }
        assertThat(sent).isLessThan(30);
    }

    @Test
    void hostOfAnotherZoneServesWhatThisZoneDoesNotHold() {
        router.announced(Announcements.engine("here", 1, "x", 8, 0), now);
        router.neighbourAnnounced(Announcements.engine("host/there", 1, "m", 8, 0), now);
        assertThat(choose()).contains(new UpstreamId("host/there"));
        router.announced(Announcements.engine("here", 2, "m", 8, 0), now);
        assertThat(choose()).contains(new UpstreamId("here"));
        router.neighbourLost(new UpstreamId("host/there"));
        router.lost(new UpstreamId("here"));
        assertThat(choose()).isEmpty();
    }

    @Test
    void requestThatFailedInThisZoneGoesToAnotherZone() {
        router.announced(Announcements.engine("here", 1, "m", 8, 0), now);
        router.neighbourAnnounced(Announcements.engine("host/there", 1, "m", 8, 0), now);
        List<UpstreamId> failed = List.of(new UpstreamId("here"));
        RoutingRequest again =
                new RoutingRequest(TARGET, Priority.URGENT, 0, Reach.ALL_ZONES, failed);
        assertThat(router.choose(again, now)).contains(new UpstreamId("host/there"));
    }

    @Test
    void forwardedRequestStaysInItsZone() {
        router.neighbourAnnounced(Announcements.engine("host/there", 1, "m", 8, 0), now);
        assertThat(choose(Priority.URGENT, Reach.ZONE)).isEmpty();
    }

    @Test
    void zoneWithoutEnginesForwardsRequestsToLoadAModel() {
        router.neighbourAnnounced(Announcements.engine("host/there", 1, "x", 8, 0), now);
        assertThat(choose()).contains(new UpstreamId("host/there"));
        router.announced(Announcements.engine("here", 1, "y", 8, 0), now);
        assertThat(choose()).as("it is loaded here").isEmpty();
    }

    private void end(AttemptResult ending, int times) {
        for (int at = 0; at < times; at++) {
            UpstreamId chosen = choose().orElseThrow();
            router.sent(chosen);
            router.ended(chosen, ending, now);
        }
    }

    private Optional<UpstreamId> choose() {
        return choose(Priority.URGENT, Reach.ALL_ZONES);
    }

    private Optional<UpstreamId> choose(Priority priority, Reach reach) {
        return router.choose(new RoutingRequest(TARGET, priority, 0, reach, List.of()), now);
    }
}
