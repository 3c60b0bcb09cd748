package io.stackhall.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.ServiceName;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests how many retries one host allows itself for each service. */
class RetryLimiterTest {

    private static final ServiceName BUSY = new ServiceName("busy");
    private static final ServiceName SMALL = new ServiceName("small");
    private static final double RATIO = 0.2;
    private static final double SLACK = 20;
    private static final int HOSTS = 4;

    private final RetryLimiter limiter =
            new RetryLimiter(RATIO, SLACK, HOSTS, Duration.ofSeconds(10));

    @Test
    void failingSmallServiceGetsNoRetriesThatABusyOneLeavesUnused() {
        for (int count = 0; count < 1000; count++) {
            limiter.recordRequest(BUSY, 0);
        }
        for (int count = 0; count < 20; count++) {
            limiter.recordRequest(SMALL, 0);
        }
        assertThat(taken(SMALL)).isLessThanOrEqualTo((int) (RATIO * 20 + SLACK / HOSTS));
        assertThat(taken(BUSY)).isGreaterThan(100);
    }

    @Test
    void remainingIsThatOfTheServiceWithTheFewest() {
        limiter.recordRequest(BUSY, 0);
        taken(SMALL);
        assertThat(limiter.remaining()).isLessThan(1);
    }

    private int taken(ServiceName service) {
        int taken = 0;
        while (limiter.tryTake(service, 0)) {
            taken++;
        }
        return taken;
    }
}
