package io.stackhall.core.residency;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.residency.OrderHandover.Predecessor;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests of which order issuer waits for its predecessor. */
class OrderHandoverTest {

    private static final long ELECTED = Duration.ofSeconds(100).toNanos();
    private static final Duration PAUSE = Duration.ofSeconds(3);

    private final OrderHandover fenced = new OrderHandover(true, PAUSE);
    private final OrderHandover unfenced = new OrderHandover(false, PAUSE);

    @Test
    void reachablePredecessorIsAlwaysWaitedFor() {
        assertThat(fenced.mayIssueOrders(Predecessor.REACHABLE, ELECTED, after(2999))).isFalse();
        assertThat(fenced.mayIssueOrders(Predecessor.REACHABLE, ELECTED, after(3000))).isTrue();
    }

    @Test
    void unreachablePredecessorIsNotWaitedForWhereEnginesCheckFencing() {
        assertThat(fenced.mayIssueOrders(Predecessor.UNREACHABLE, ELECTED, after(0))).isTrue();
    }

    @Test
    void unreachablePredecessorIsWaitedForWhereEnginesDoNotCheckFencing() {
        assertThat(unfenced.mayIssueOrders(Predecessor.UNREACHABLE, ELECTED, after(2999)))
                .isFalse();
        assertThat(unfenced.mayIssueOrders(Predecessor.UNREACHABLE, ELECTED, after(3000))).isTrue();
    }

    @Test
    void firstOrderIssuerStartsAtOnce() {
        assertThat(unfenced.mayIssueOrders(Predecessor.NONE, ELECTED, after(0))).isTrue();
    }

    private static long after(long millis) {
        return ELECTED + Duration.ofMillis(millis).toNanos();
    }
}
