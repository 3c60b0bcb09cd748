package io.stackhall.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.UpstreamId;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * What is held against requests when instances end.
 *
 * <p>Twelve engines ended under one request within fifteen seconds, each with two to twenty-four
 * innocent requests, whose callers sent them again at once: they mostly met the guilty one again.
 */
class CrashLedgerTest {

    private static final RequestDigest CRASHING = digest("guilty");
    private static final RequestDigest NEIGHBOUR = digest("neighbour");
    private static final RequestDigest OTHER = digest("other");

    private final CrashLedger ledger = new CrashLedger();

    @Test
    void firstCrashMakesAllItsRequestsSuspects() {
        crashed("i-1", CRASHING, NEIGHBOUR);
        assertThat(standing(CRASHING)).isEqualTo(new Standing.Suspect(1));
        assertThat(standing(NEIGHBOUR)).isEqualTo(new Standing.Suspect(1));
        assertThat(standing(OTHER)).isEqualTo(new Standing.Clear());
    }

    @Test
    void onlyRequestCommonToTwoCrashesIsCondemned() {
        crashed("i-1", CRASHING, NEIGHBOUR);
        crashed("i-2", CRASHING, OTHER);
        assertThat(standing(CRASHING)).isInstanceOf(Standing.Condemned.class);
        assertThat(standing(NEIGHBOUR)).isEqualTo(new Standing.Suspect(1));
        assertThat(standing(OTHER)).isEqualTo(new Standing.Suspect(1));
    }

    @Test
    void thirdCrashDecidesBetweenTwoRequestsInTheSameTwoCrashes() {
        crashed("i-1", CRASHING, NEIGHBOUR);
        crashed("i-2", CRASHING, NEIGHBOUR);
        assertThat(standing(CRASHING)).isEqualTo(new Standing.Suspect(2));
        crashed("i-3", CRASHING);
        assertThat(standing(CRASHING)).isInstanceOf(Standing.Condemned.class);
        assertThat(standing(NEIGHBOUR)).isEqualTo(new Standing.Suspect(2));
    }

    @Test
    void repeatedNoticesOfOneCrashCountOnce() {
        for (int told = 0; told < 5; told++) {
            crashed("i-1", CRASHING);
        }
        assertThat(standing(CRASHING)).isEqualTo(new Standing.Suspect(1));
    }

    @Test
    void incarnationsOfOneInstanceCountSeparately() {
        ledger.recordCrash(new Crash(new UpstreamId("i-1", 1000), Set.of(CRASHING)), 0);
        ledger.recordCrash(new Crash(new UpstreamId("i-1", 2000), Set.of(CRASHING)), 0);
        assertThat(standing(CRASHING)).isInstanceOf(Standing.Condemned.class);
    }

    @Test
    void harmlessEndAcquitsOfEarlierCrashes() {
        crashed("i-1", NEIGHBOUR, CRASHING);
        crashed("i-2", NEIGHBOUR, CRASHING);
        Acquittal acquittal = ledger.recordHarmlessEnd(NEIGHBOUR).orElseThrow();
        assertThat(standing(NEIGHBOUR)).isEqualTo(new Standing.Clear());
        assertThat(standing(CRASHING)).isInstanceOf(Standing.Condemned.class);
        crashed("i-2", NEIGHBOUR);
        assertThat(standing(NEIGHBOUR)).isEqualTo(new Standing.Clear());
        assertThat(acquittal.incarnations()).hasSize(2);
    }

    @Test
    void acquittalReceivedBeforeItsCrashesCounts() {
        ledger.applyAcquittal(new Acquittal(NEIGHBOUR, Set.of(new UpstreamId("i-1"))));
        crashed("i-1", NEIGHBOUR);
        assertThat(standing(NEIGHBOUR)).isEqualTo(new Standing.Clear());
    }

    @Test
    void agreedSentenceHoldsWithoutLocalEvidence() {
        assertThat(ledger.applySentences(List.of(CRASHING), 0)).containsExactly(CRASHING);
        assertThat(standing(CRASHING)).isInstanceOf(Standing.Condemned.class);
        ledger.applySentences(List.of(), 0);
        assertThat(standing(CRASHING)).isInstanceOf(Standing.Condemned.class);
        ledger.liftSentences(List.of(CRASHING));
        assertThat(standing(CRASHING)).isEqualTo(new Standing.Clear());
    }

    @Test
    void expiredSentenceLeavesASuspectAndOneMoreCrashRenewsIt() {
        crashed("i-1", CRASHING);
        crashed("i-2", CRASHING);
        long later = Duration.ofMinutes(11).toNanos();
        assertThat(ledger.standing(CRASHING, later)).isEqualTo(new Standing.Suspect(2));
        ledger.recordCrash(new Crash(new UpstreamId("i-3"), Set.of(CRASHING)), later);
        assertThat(ledger.standing(CRASHING, later)).isInstanceOf(Standing.Condemned.class);
    }

    @Test
    void suspicionExpires() {
        crashed("i-1", NEIGHBOUR);
        long later = Duration.ofMinutes(3).toNanos();
        assertThat(ledger.standing(NEIGHBOUR, later)).isEqualTo(new Standing.Clear());
        ledger.sweep(Duration.ofHours(1).toNanos());
        assertThat(ledger.size()).isZero();
        assertThat(ledger.crashes()).isEmpty();
    }

    @Test
    void floodOfCrashesStaysWithinTheBoundAndKeepsSentences() {
        ledger.applySentences(List.of(CRASHING), 0);
        for (int count = 0; count < 10_000; count++) {
            crashed("i-" + count, digest("flood" + count));
        }
        assertThat(ledger.size()).isLessThanOrEqualTo(4000);
        assertThat(ledger.crashes()).hasSizeLessThanOrEqualTo(4000);
        assertThat(standing(CRASHING)).isInstanceOf(Standing.Condemned.class);
    }

    private void crashed(String instance, RequestDigest... requests) {
        ledger.recordCrash(new Crash(new UpstreamId(instance), Set.of(requests)), 0);
    }

    private Standing standing(RequestDigest request) {
        return ledger.standing(request, 0);
    }

    static RequestDigest digest(String content) {
        return RequestDigest.of(
                "POST", "a.example", "/a/x", content.getBytes(StandardCharsets.UTF_8));
    }
}
