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

    private static final RequestDigest GUILTY = digest("guilty");
    private static final RequestDigest NEIGHBOUR = digest("neighbour");
    private static final RequestDigest OTHER = digest("other");

    private final CrashLedger ledger = new CrashLedger();

    @Test
    void firstEndMakesSuspectsOfAllThatWereThere() {
        crashed("i-1", GUILTY, NEIGHBOUR);
        assertThat(standing(GUILTY)).isEqualTo(new Standing.Suspect(1));
        assertThat(standing(NEIGHBOUR)).isEqualTo(new Standing.Suspect(1));
        assertThat(standing(OTHER)).isEqualTo(new Standing.Clear());
    }

    @Test
    void whoAloneWasAtTwoEndsIsCondemned() {
        crashed("i-1", GUILTY, NEIGHBOUR);
        crashed("i-2", GUILTY, OTHER);
        assertThat(standing(GUILTY)).isInstanceOf(Standing.Condemned.class);
        assertThat(standing(NEIGHBOUR)).isEqualTo(new Standing.Suspect(1));
        assertThat(standing(OTHER)).isEqualTo(new Standing.Suspect(1));
    }

    @Test
    void ofTwoThatWereAtTheSameTwoEndsTheThirdDecides() {
        crashed("i-1", GUILTY, NEIGHBOUR);
        crashed("i-2", GUILTY, NEIGHBOUR);
        assertThat(standing(GUILTY)).isEqualTo(new Standing.Suspect(2));
        crashed("i-3", GUILTY);
        assertThat(standing(GUILTY)).isInstanceOf(Standing.Condemned.class);
        assertThat(standing(NEIGHBOUR)).isEqualTo(new Standing.Suspect(2));
    }

    @Test
    void oneEndCountsOnceWhoeverTellsOfItAndHoweverOften() {
        for (int told = 0; told < 5; told++) {
            crashed("i-1", GUILTY);
        }
        assertThat(standing(GUILTY)).isEqualTo(new Standing.Suspect(1));
    }

    @Test
    void livesOfOneNameCountEach() {
        ledger.crashed(new Crash(new UpstreamId("i-1", 1000), Set.of(GUILTY)), 0);
        ledger.crashed(new Crash(new UpstreamId("i-1", 2000), Set.of(GUILTY)), 0);
        assertThat(standing(GUILTY)).isInstanceOf(Standing.Condemned.class);
    }

    @Test
    void goodEndTakesBackWhatWasHeldBefore() {
        crashed("i-1", NEIGHBOUR, GUILTY);
        crashed("i-2", NEIGHBOUR, GUILTY);
        Acquittal acquittal = ledger.endedWell(NEIGHBOUR).orElseThrow();
        assertThat(standing(NEIGHBOUR)).isEqualTo(new Standing.Clear());
        assertThat(standing(GUILTY)).isInstanceOf(Standing.Condemned.class);
        crashed("i-2", NEIGHBOUR);
        assertThat(standing(NEIGHBOUR)).isEqualTo(new Standing.Clear());
        assertThat(acquittal.lives()).hasSize(2);
    }

    @Test
    void acquittalThatComesBeforeItsEndsCounts() {
        ledger.acquitted(new Acquittal(NEIGHBOUR, Set.of(new UpstreamId("i-1"))));
        crashed("i-1", NEIGHBOUR);
        assertThat(standing(NEIGHBOUR)).isEqualTo(new Standing.Clear());
    }

    @Test
    void sentenceOfAllHostsHoldsWhereNothingElseIsKnown() {
        assertThat(ledger.sentenced(List.of(GUILTY), 0)).containsExactly(GUILTY);
        assertThat(standing(GUILTY)).isInstanceOf(Standing.Condemned.class);
        ledger.sentenced(List.of(), 0);
        assertThat(standing(GUILTY)).isInstanceOf(Standing.Condemned.class);
        ledger.lifted(List.of(GUILTY));
        assertThat(standing(GUILTY)).isEqualTo(new Standing.Clear());
    }

    @Test
    void sentenceEndsInOneTrialAndOneMoreEndRenewsIt() {
        crashed("i-1", GUILTY);
        crashed("i-2", GUILTY);
        long later = Duration.ofMinutes(11).toNanos();
        assertThat(ledger.standing(GUILTY, later)).isEqualTo(new Standing.Suspect(2));
        ledger.crashed(new Crash(new UpstreamId("i-3"), Set.of(GUILTY)), later);
        assertThat(ledger.standing(GUILTY, later)).isInstanceOf(Standing.Condemned.class);
    }

    @Test
    void suspicionIsOverAfterAWhile() {
        crashed("i-1", NEIGHBOUR);
        long later = Duration.ofMinutes(3).toNanos();
        assertThat(ledger.standing(NEIGHBOUR, later)).isEqualTo(new Standing.Clear());
        ledger.sweep(Duration.ofHours(1).toNanos());
        assertThat(ledger.size()).isZero();
        assertThat(ledger.crashes()).isEmpty();
    }

    @Test
    void floodOfEndsStaysWithinItsBoundAndKeepsSentences() {
        ledger.sentenced(List.of(GUILTY), 0);
        for (int count = 0; count < 10_000; count++) {
            crashed("i-" + count, digest("flood" + count));
        }
        assertThat(ledger.size()).isLessThanOrEqualTo(4000);
        assertThat(ledger.crashes()).hasSizeLessThanOrEqualTo(4000);
        assertThat(standing(GUILTY)).isInstanceOf(Standing.Condemned.class);
    }

    private void crashed(String instance, RequestDigest... requests) {
        ledger.crashed(new Crash(new UpstreamId(instance), Set.of(requests)), 0);
    }

    private Standing standing(RequestDigest request) {
        return ledger.standing(request, 0);
    }

    static RequestDigest digest(String content) {
        return RequestDigest.of(
                "POST", "a.example", "/a/x", content.getBytes(StandardCharsets.UTF_8));
    }
}
