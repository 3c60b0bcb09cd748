package io.stackhall.core.customer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Whether a key that was taken away ends in time on a host that hears nothing of it. */
class KeyLeaseTest {

    private static final Duration REVOCATION = Duration.ofSeconds(5);

    @Test
    void leaseIsInvalidBeforeTheFirstConfirmation() {
        assertThat(new KeyLease(Optional.of(REVOCATION)).isValid(0)).isFalse();
    }

    @Test
    void leaseLastsFromTheRequestNotFromTheConfirmation() {
        KeyLease trust = new KeyLease(Optional.of(REVOCATION));
        trust.renew(millis(1000));
        assertThat(trust.isValid(millis(4999))).isTrue();
        assertThat(trust.isValid(millis(5000))).isFalse();
    }

    @Test
    void lateConfirmationOfAnEarlierRequestDoesNotShortenTheLease() {
        KeyLease trust = new KeyLease(Optional.of(REVOCATION));
        trust.renew(millis(2000));
        trust.renew(millis(1000));
        assertThat(trust.isValid(millis(5500))).isTrue();
    }

    @Test
    void withoutARevocationTimeNoConfirmationIsNeeded() {
        assertThat(new KeyLease(Optional.empty()).isValid(0)).isTrue();
    }

    /** A change that the quorum did not know of when it answered was acknowledged after that. */
    @Property
    boolean leaseEndsBeforeAnUnknownChangeMustApply(
            @ForAll @LongRange(min = 0, max = 10_000) long askedAt,
            @ForAll @LongRange(min = 0, max = 900) long answerTakes,
            @ForAll @LongRange(min = 0, max = 20_000) long acknowledgedLater,
            @ForAll @LongRange(min = 0, max = 40_000) long judgedLater) {
        KeyLease trust = new KeyLease(Optional.of(REVOCATION));
        long answered = askedAt + answerTakes;
        long acknowledged = askedAt + acknowledgedLater;
        long judged = answered + judgedLater;
        trust.renew(millis(askedAt));
        boolean overdue = judged >= acknowledged + REVOCATION.toMillis();
        return !(overdue && trust.isValid(millis(judged)));
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
