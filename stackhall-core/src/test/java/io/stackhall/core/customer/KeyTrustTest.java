package io.stackhall.core.customer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Whether a key that was taken away ends in time on a host that hears nothing of it. */
class KeyTrustTest {

    private static final Duration REVOCATION = Duration.ofSeconds(5);

    @Test
    void hostThatWasNeverConfirmedTrustsNoKey() {
        assertThat(new KeyTrust(Optional.of(REVOCATION)).holds(0)).isFalse();
    }

    @Test
    void trustLastsFromTheQuestionNotFromTheAnswer() {
        KeyTrust trust = new KeyTrust(Optional.of(REVOCATION));
        trust.confirmed(millis(1000));
        assertThat(trust.holds(millis(4999))).isTrue();
        assertThat(trust.holds(millis(5000))).isFalse();
    }

    @Test
    void lateAnswerToAnEarlierQuestionTakesNothingBack() {
        KeyTrust trust = new KeyTrust(Optional.of(REVOCATION));
        trust.confirmed(millis(2000));
        trust.confirmed(millis(1000));
        assertThat(trust.holds(millis(5500))).isTrue();
    }

    @Test
    void whereHostsOutOfReachMayGoOnNoConfirmationIsNeeded() {
        assertThat(new KeyTrust(Optional.empty()).holds(0)).isTrue();
    }

    /** A change that the quorum did not know of when it answered was acknowledged after that. */
    @Property
    boolean trustEndsBeforeAnUnheardChangeMustHold(
            @ForAll @LongRange(min = 0, max = 10_000) long askedAt,
            @ForAll @LongRange(min = 0, max = 900) long answerTakes,
            @ForAll @LongRange(min = 0, max = 20_000) long acknowledgedLater,
            @ForAll @LongRange(min = 0, max = 40_000) long judgedLater) {
        KeyTrust trust = new KeyTrust(Optional.of(REVOCATION));
        long answered = askedAt + answerTakes;
        long acknowledged = askedAt + acknowledgedLater;
        long judged = answered + judgedLater;
        trust.confirmed(millis(askedAt));
        boolean overdue = judged >= acknowledged + REVOCATION.toMillis();
        return !(overdue && trust.holds(millis(judged)));
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
