package io.stackhall.core.dispatch;

import static io.stackhall.core.fleet.Instances.SERVICE;
import static io.stackhall.core.fleet.Instances.plainInstance;
import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.ZoneId;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the choice among the instances of a service that runs no models. */
class PlainServiceSelectorTest {

    private static final Need NEED =
            new Need(SERVICE, Optional.empty(), Optional.empty(), List.of(), 0, 0, 1);

    private final Dispatcher dispatcher = Dispatchers.of(new ZoneId("here"), new Random(7));
    private final Instance own = plainInstance("here", "own", 4);
    private final Instance other = plainInstance("there", "other", 4);
    private long now = Duration.ofSeconds(1).toNanos();

    @BeforeEach
    void known() {
        dispatcher.updateInstance(own);
        dispatcher.updateInstance(other);
    }

    /** Guards against requests that leave their zone because of an insignificant difference. */
    @Test
    void equalInstanceOfTheOwnZoneIsPreferredUntilItHasOneRequestMore() {
        dispatcher.updateRemoteRequests(Map.of(own.id(), 1), now);
        assertThat(chosen()).containsExactly(own);
        dispatcher.updateRemoteRequests(Map.of(own.id(), 2), now);
        dispatcher.requestSent(own.id(), NEED, now);
        assertThat(chosen()).containsExactly(other);
    }

    /** Guards against an idle instance that gets nothing while others had less on average. */
    @Test
    void instancesWithSlightlyDifferentMeansShareTheRequests() {
        Instance second = plainInstance("here", "second", 4);
        dispatcher.updateInstance(second);
        dispatcher.updateRemoteRequests(Map.of(own.id(), 1), now);
        dispatcher.updateRemoteRequests(Map.of(), now);
        assertThat(chosen()).containsExactlyInAnyOrder(own, second);
    }

    /** Guards against a random choice where one instance runs a request and the other queues it. */
    @Test
    void lowestScoreDecidesAmongInstancesWithoutFreeSlots() {
        dispatcher.updateRemoteRequests(Map.of(own.id(), 5, other.id(), 4), now);
        assertThat(chosen()).containsExactly(other);
    }

    /** Guards against an idle instance that fails and gets as much as the others. */
    @Test
    void instanceThatFailsIsNoEqual() {
        dispatcher.requestFailed(own.id());
        dispatcher.requestFailed(own.id());
        assertThat(chosen()).containsExactly(other);
    }

    /** Guards against a slow instance that is never used again once its reports stop. */
    @Test
    void slowInstanceIsAvoidedUntilItsReportIsOld() {
        report(own, 2.5);
        report(other, 1);
        assertThat(chosen()).containsExactly(other);
        now += Duration.ofSeconds(3).toNanos();
        assertThat(chosen()).containsExactly(own);
    }

    /** Guards against a change for services whose upstreams report no slowdown. */
    @Test
    void durationsCountOnlyWhereSlowdownsAreReported() {
        for (int request = 0; request < 100; request++) {
            serve(own, Duration.ofMillis(100));
            serve(other, Duration.ofMillis(10));
        }
        assertThat(chosen()).containsExactly(own);
        report(own, 1);
        assertThat(chosen()).containsExactly(other);
    }

    /** Guards against a slowdown that counts twice: as reported, and in the duration it caused. */
    @Test
    void durationsOfASlowedInstanceCountAsUsual() {
        for (int request = 0; request < 100; request++) {
            report(own, 2.5);
            serve(own, Duration.ofMillis(25));
            serve(other, Duration.ofMillis(10));
        }
        report(own, 1);
        assertThat(chosen()).containsExactly(own);
    }

    private void report(Instance instance, double slowdown) {
        dispatcher.updateReportedLoad(instance.id(), 0, OptionalDouble.of(slowdown), now);
    }

    private void serve(Instance instance, Duration duration) {
        InFlightRequest request = dispatcher.requestSent(instance.id(), NEED, now);
        long end = now + duration.toNanos();
        dispatcher.responseStarted(request, end);
        dispatcher.requestEnded(request, end);
    }

    private Set<Instance> chosen() {
        Set<Instance> chosen = new HashSet<>();
        for (int request = 0; request < 50; request++) {
            Choice choice = dispatcher.choose(NEED, id -> true, false, now);
            assertThat(choice).isInstanceOf(Choice.Send.class);
            chosen.add(((Choice.Send) choice).instance());
        }
        return chosen;
    }
}
