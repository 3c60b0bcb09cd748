package io.stackhall.core.customer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Whether a removed key becomes invalid in time on a host that receives no notice of it. */
class KeyLeaseTest {

    private static final Duration REVOCATION = Duration.ofSeconds(5);

    @Test
    void leaseIsInvalidBeforeTheFirstConfirmation() {
        assertThat(new KeyLease(Optional.of(REVOCATION)).isValid(0)).isFalse();
    }

    @Test
    void leaseLastsFromTheRequestNotFromTheConfirmation() {
        KeyLease lease = new KeyLease(Optional.of(REVOCATION));
        lease.renew(millis(1000));
        assertThat(lease.isValid(millis(4999))).isTrue();
        assertThat(lease.isValid(millis(5000))).isFalse();
    }

    @Test
    void lateConfirmationOfAnEarlierRequestDoesNotShortenTheLease() {
        KeyLease lease = new KeyLease(Optional.of(REVOCATION));
        lease.renew(millis(2000));
        lease.renew(millis(1000));
        assertThat(lease.isValid(millis(5500))).isTrue();
    }

    @Test
    void withoutARevocationTimeNoConfirmationIsNeeded() {
        assertThat(new KeyLease(Optional.empty()).isValid(0)).isTrue();
    }

    /** A change that the quorum did not know when it answered was acknowledged afterwards. */
    @Property
    boolean leaseEndsBeforeAnUnknownChangeMustApply(
            @ForAll @LongRange(min = 0, max = 10_000) long askedAt,
            @ForAll @LongRange(min = 0, max = 900) long answerTakes,
            @ForAll @LongRange(min = 0, max = 20_000) long acknowledgedLater,
            @ForAll @LongRange(min = 0, max = 40_000) long judgedLater) {
        KeyLease lease = new KeyLease(Optional.of(REVOCATION));
        long answered = askedAt + answerTakes;
        long acknowledged = askedAt + acknowledgedLater;
        long judged = answered + judgedLater;
        lease.renew(millis(askedAt));
        boolean overdue = judged >= acknowledged + REVOCATION.toMillis();
        return !(overdue && lease.isValid(millis(judged)));
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
