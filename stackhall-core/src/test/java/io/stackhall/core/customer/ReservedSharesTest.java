package io.stackhall.core.customer;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.HostId;
import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Which shares the leader reserves, and when a host uses its own. */
class ReservedSharesTest {

    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final HostId NORTH = new HostId("north");
    private static final HostId SOUTH = new HostId("south");
    private static final CustomerId CUSTOMER = new CustomerId("c");
    private static final CustomerLimit LIMIT =
            new CustomerLimit(CustomerLimit.Unit.TOKENS, 100, 1000, 1);
    private final ReservedShares shares = new ReservedShares(7, 0);

    /** Guards against hosts that count as reachable though only their claims arrive. */
    @Test
    void hostThatReceivesNoAnswersIsReserved() {
        for (int millis = 0; millis <= 2000; millis += 100) {
            shares.recordQuestion(NORTH, new AnswerReceipt(7, 0, 1), millis * MILLI);
            assertThat(shares.share(millis * MILLI)).isEqualTo(millis < 800 ? 1 : 0);
        }
    }

    /** Guards against a late frame that makes a host count as reachable again. */
    @Test
    void delayedReceiptDoesNotReplaceANewerOne() {
        shares.recordQuestion(NORTH, new AnswerReceipt(7, 600 * MILLI, 1), 600 * MILLI);
        shares.recordQuestion(NORTH, new AnswerReceipt(7, 0, 1), 1000 * MILLI);
        assertThat(shares.share(1000 * MILLI)).isEqualTo(1);
        assertThat(shares.share(1400 * MILLI)).isEqualTo(0);
    }

    /** Guards against a new leader that grants the shares of hosts it has not heard of. */
    @Test
    void newLeaderReservesTheSharesOfHostsThatItsPredecessorKnew() {
        shares.setFollowerCount(1, 0);
        assertThat(shares.share(0)).isEqualTo(0);
        shares.recordQuestion(NORTH, new AnswerReceipt(6, 0, 4), 0);
        assertThat(shares.share(0)).isEqualTo(0);
        shares.recordQuestion(NORTH, new AnswerReceipt(7, 0, 4), 0);
        assertThat(shares.share(0)).isEqualTo(0.25);
    }

    /** Guards against reservations during an upgrade for hosts that never use a share. */
    @Test
    void hostsOfAnOlderVersionAreNotReserved() {
        shares.setFollowerCount(2, 0);
        shares.recordQuestionOfOlderVersion(0);
        assertThat(shares.share(0)).isEqualTo(1);
        shares.recordQuestion(SOUTH, new AnswerReceipt(7, 0, 2), 0);
        assertThat(shares.share(0)).isEqualTo(1);
        assertThat(shares.share(900 * MILLI)).isEqualTo(0);
        AllowanceManager manager = new AllowanceManager();
        manager.reset(7, 0);
        assertThat(manager.receipt(0)).isPresent();
        manager.recordQuestionOfOlderVersion(0);
        assertThat(manager.receipt(0)).isEmpty();
    }

    /** Guards against a share that is used beside a leader which does not reserve it. */
    @Test
    void shareIsUsedOnlyAfterASecondWithoutAnswersOfALeaderThatReservesIt() {
        assertThat(admittedAfter(true, Duration.ofMillis(999), 1e-6)).isZero();
        assertThat(admittedAfter(true, Duration.ofSeconds(10), 1e-6)).isPositive();
        assertThat(admittedAfter(true, Duration.ofSeconds(30), 1e-6)).isZero();
        assertThat(admittedAfter(false, Duration.ofSeconds(10), 1e-6)).isZero();
    }

    /** Guards against limits without a tolerance that hosts overdraw by a request each. */
    @Test
    void shareOfALimitWithoutToleranceIsNotUsed() {
        assertThat(admittedAfter(true, Duration.ofSeconds(10), 0)).isZero();
    }

    private static int admittedAfter(boolean reserves, Duration silence, double slack) {
        LimitTolerance tolerance = new LimitTolerance(Duration.ofSeconds(8), 0, slack);
        OutageAllowance outage = new OutageAllowance(tolerance, new Random(1));
        outage.answered(reserves, 2, 0);
        int admitted = 0;
        for (int request = 0; request < 100; request++) {
            AllowanceVerdict verdict = outage.take(CUSTOMER, LIMIT, 10, 2, silence.toNanos());
            admitted += verdict instanceof AllowanceVerdict.Granted ? 1 : 0;
        }
        return admitted;
    }
}
