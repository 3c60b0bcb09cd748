package io.stackhall.core.customer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Which requests the allowance of one customer grants. */
class CustomerAllowanceTest {

    private static final CustomerLimit LIMIT =
            new CustomerLimit(CustomerLimit.Unit.TOKENS, 100, 50, 1);

    @Test
    void denialCarriesTheTimeUntilCapacityIsFree() {
        CustomerAllowance allowance = new CustomerAllowance(LIMIT, 0);
        assertThat(allowance.take(200, 0)).isInstanceOf(AllowanceVerdict.Granted.class);
        AllowanceVerdict refused = allowance.take(10, 0);
        assertThat(refused).isEqualTo(new AllowanceVerdict.Denied(Duration.ofSeconds(2)));
        assertThat(allowance.take(10, seconds(2))).isInstanceOf(AllowanceVerdict.Granted.class);
    }

    @Test
    void simultaneousDenialsCarryStaggeredRetryTimes() {
        CustomerAllowance allowance = new CustomerAllowance(LIMIT, 0);
        allowance.take(100, 0);
        Duration first = ((AllowanceVerdict.Denied) allowance.take(100, 0)).retryAfter();
        Duration second = ((AllowanceVerdict.Denied) allowance.take(100, 0)).retryAfter();
        assertThat(second).isEqualTo(first.plusSeconds(1));
    }

    @Test
    void costOfARequestThatDidNotRunIsRefunded() {
        CustomerAllowance allowance = new CustomerAllowance(LIMIT, 0);
        allowance.take(500, 0);
        allowance.refund(500, 0);
        assertThat(allowance.take(10, 0)).isInstanceOf(AllowanceVerdict.Granted.class);
    }

    @Test
    void lowerLimitAppliesAtOnce() {
        CustomerAllowance allowance = new CustomerAllowance(LIMIT, 0);
        allowance.limit(new CustomerLimit(CustomerLimit.Unit.TOKENS, 1, 0, 1), seconds(10));
        allowance.take(10, seconds(10));
        assertThat(allowance.take(10, seconds(19))).isInstanceOf(AllowanceVerdict.Denied.class);
        assertThat(allowance.take(10, seconds(20))).isInstanceOf(AllowanceVerdict.Granted.class);
    }

    @Property
    boolean noWindowExceedsTheLimitByMoreThanOneRequest(
            @ForAll @Size(min = 1, max = 200) List<@IntRange(min = 0, max = 120) Integer> gaps,
            @ForAll @IntRange(min = 1, max = 80) int cost) {
        CustomerAllowance allowance = new CustomerAllowance(LIMIT, 0);
        List<Long> granted = new ArrayList<>();
        long now = 0;
        for (int gap : gaps) {
            now += Duration.ofMillis(gap).toNanos();
            if (allowance.take(cost, now) instanceof AllowanceVerdict.Granted) {
                granted.add(now);
            }
        }
        for (int first = 0; first < granted.size(); first++) {
            for (int last = first; last < granted.size(); last++) {
                double window = (granted.get(last) - granted.get(first)) / 1e9;
                double most = LIMIT.perSecond() * window + LIMIT.burst() + cost;
                if ((last - first + 1) * (double) cost > most + 1e-6) {
                    return false;
                }
            }
        }
        return true;
    }

    private static long seconds(long seconds) {
        return Duration.ofSeconds(seconds).toNanos();
    }
}
