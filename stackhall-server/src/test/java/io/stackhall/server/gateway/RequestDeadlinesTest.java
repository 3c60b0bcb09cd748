package io.stackhall.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.ServiceName;
import io.stackhall.core.route.Route;
import io.stackhall.core.route.RouteKind;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks from when on a request can no longer meet its latency objective. */
class RequestDeadlinesTest {

    private static final long ARRIVED = Duration.ofSeconds(7).toNanos();

    @Test
    void isLateOnceAnIdleEngineWouldMissTheObjective() {
        RequestDeadlines times =
                new RequestDeadlines(ARRIVED, ARRIVED + millis(12_000), route(400));
        assertThat(times.isLate(ARRIVED + millis(349))).isFalse();
        assertThat(times.isLate(ARRIVED + millis(351))).isTrue();
    }

    @Test
    void isNotLateForSecondsUnderALongObjective() {
        RequestDeadlines times =
                new RequestDeadlines(ARRIVED, ARRIVED + millis(20_000), route(5000));
        assertThat(times.isLate(ARRIVED + millis(4300))).isFalse();
        assertThat(times.isLate(ARRIVED + millis(4400))).isTrue();
    }

    private static Route route(long objectiveMillis) {
        return new Route(
                "r",
                "a.example",
                "/",
                RouteKind.STREAM,
                Duration.ofSeconds(20),
                Duration.ofMillis(objectiveMillis),
                0,
                List.of(new Route.Share(new ServiceName("s"), 1)),
                1,
                false,
                Duration.ofMillis(250),
                Duration.ofSeconds(2),
                false);
    }

    private static long millis(long value) {
        return Duration.ofMillis(value).toNanos();
    }
}
