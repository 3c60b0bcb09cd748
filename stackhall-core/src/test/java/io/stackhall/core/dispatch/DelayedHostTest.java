package io.stackhall.core.dispatch;

import static io.stackhall.core.fleet.Instances.SERVICE;
import static io.stackhall.core.fleet.Instances.instance;
import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.backpressure.Backpressure;
import io.stackhall.core.backpressure.RestingUpstreams;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.limit.LimitedUpstreams;
import io.stackhall.core.overload.LoopDelayMeter;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Answers that a busy or suspended host reads late, which must not make an instance look slow. */
class DelayedHostTest {

    private static final UpstreamId ID = new UpstreamId("a");
    private static final Need NEED =
            new Need(SERVICE, Optional.empty(), Optional.empty(), List.of(), 0, 0, 1);

    private final LoopDelayMeter meter = new LoopDelayMeter();
    private Dispatcher dispatcher;
    private long now;

    @BeforeEach
    void create() {
        Random random = new Random(1);
        LimitedUpstreams limits = new LimitedUpstreams(new HostId("entry-1"), random);
        dispatcher =
                new Dispatcher(
                        new ZoneId("plateau"),
                        new Backpressure(limits, new RestingUpstreams(random)),
                        meter,
                        random);
        dispatcher.setObjectives(Map.of(SERVICE, Duration.ofMillis(400)));
        dispatcher.updateInstance(instance("a", 1));
        tick(20);
        tick(20);
    }

    @Test
    void timeInWhichTheHostDidNotReadIsNoTimeOfTheInstance() {
        assertThat(slowAnswers(() -> tick(480))).isZero();
    }

    @Test
    void timeInWhichTheHostDidNotWriteIsNoTimeOfTheInstance() {
        InFlightRequest inFlight = dispatcher.requestSent(ID, NEED, now);
        tick(480);
        inFlight.recordDelayBeforeWrite(meter.unnoticedNanos(inFlight.startedAt(), now));
        tick(20);
        tick(20);
        dispatcher.responseStarted(inFlight, now);
        assertThat(dispatcher.takeWork().get(ID).slow()).isZero();
    }

    /** The correction must not hide the slowness of an instance from a host that is not delayed. */
    @Test
    void timeOfASlowInstanceCounts() {
        assertThat(
                        slowAnswers(
                                () -> {
                                    for (int count = 0; count < 25; count++) {
                                        tick(20);
                                    }
                                }))
                .isOne();
    }

    /** An instance is taken for silent after 600 ms, also while nobody reads its answers. */
    @Test
    void instanceIsNotSilentWhileTheHostIsSuspended() {
        sendTo("a", 1);
        now += Duration.ofSeconds(3).toNanos();
        assertThat(chosenBeside("a")).isEqualTo("a");
    }

    @Test
    void instanceIsSilentWhileTheHostRuns() {
        sendTo("a", 1);
        for (int count = 0; count < 150; count++) {
            tick(20);
        }
        assertThat(chosenBeside("a")).isEqualTo("bb");
    }

    /**
     * Returns which instance is chosen if another one, which has just got more requests, exists.
     */
    private String chosenBeside(String id) {
        dispatcher.updateInstance(instance("bb", 1));
        sendTo("bb", 2);
        Choice choice = dispatcher.choose(NEED, any -> true, false, now);
        assertThat(choice).as("beside %s", id).isInstanceOf(Choice.Send.class);
        return ((Choice.Send) choice).instance().id().toString();
    }

    private void sendTo(String id, int requests) {
        for (int count = 0; count < requests; count++) {
            dispatcher.requestSent(new UpstreamId(id), NEED, now);
        }
    }

    private int slowAnswers(Runnable wait) {
        InFlightRequest inFlight = dispatcher.requestSent(ID, NEED, now);
        inFlight.recordDelayBeforeWrite(meter.unnoticedNanos(inFlight.startedAt(), now));
        wait.run();
        dispatcher.responseStarted(inFlight, now);
        return dispatcher.takeWork().get(ID).slow();
    }

    private void tick(long afterMillis) {
        now += Duration.ofMillis(afterMillis).toNanos();
        meter.tick(now);
    }
}
