package io.stackhall.core.residency;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.residency.OrderHandover.Predecessor;
import java.time.Duration;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/**
 * Checks that no order of a partitioned leader arrives after the first order of its successor,
 * where engines do not check fencing numbers. TCP retransmits bytes held up by a partition with
 * exponential backoff; it still delivers them if the connection was closed, but not if it was
 * reset. Times are in milliseconds since the partition began.
 */
class OrderHandoverProperties {

    private static final long LEASE = 460;
    private static final long ANSWER = 900;
    private static final Duration PAUSE = Duration.ofMillis(3300);

    private final OrderHandover handover = new OrderHandover(false, PAUSE);

    /** How a leader terminates the connection of an order that is not answered in time. */
    private enum Termination {
        CLOSE,
        RESET
    }

    @Property
    boolean orderOnAResetConnectionNeverArrivesAfterTheNextLeadersFirst(
            @ForAll @LongRange(min = 0, max = LEASE - 1) long writtenAt,
            @ForAll @LongRange(min = 1, max = 15_000) long partitionMillis,
            @ForAll @LongRange(min = 100, max = 1500) long firstPause,
            @ForAll @LongRange(min = 0, max = 2000) long electionMillis) {
        OptionalLong delivered =
                delivered(writtenAt, partitionMillis, firstPause, Termination.RESET);
        return delivered.isEmpty()
                || delivered.getAsLong() < firstOrderOfNextLeader(electionMillis);
    }

    /**
     * An observed case: the zone was partitioned for 5.9 s, and the next leader's first order
     * arrived 2.1 s before this one.
     */
    @Test
    void orderOnAClosedConnectionArrivesAfterTheNextLeadersFirst() {
        OptionalLong delivered = delivered(100, 5900, 300, Termination.CLOSE);
        assertThat(delivered.orElseThrow()).isGreaterThan(firstOrderOfNextLeader(1000));
    }

    private static OptionalLong delivered(
            long writtenAt, long partitionMillis, long firstPause, Termination termination) {
        long at = writtenAt;
        long pause = firstPause;
        while (at < partitionMillis) {
            at += pause;
            pause *= 2;
        }
        boolean discarded = termination == Termination.RESET && at >= writtenAt + ANSWER;
        return discarded ? OptionalLong.empty() : OptionalLong.of(at);
    }

    private long firstOrderOfNextLeader(long electionMillis) {
        long elected = LEASE + electionMillis;
        long at = elected;
        while (!handover.mayIssueOrders(Predecessor.UNREACHABLE, nanos(elected), nanos(at))) {
            at++;
        }
        return at;
    }

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
