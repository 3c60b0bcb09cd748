package io.stackhall.core.path;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.path.UpstreamPaths.Change;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Evidence by which a host tells that it is cut off from upstreams that are down. */
class UpstreamPathsTest {

    private static final UpstreamId FIRST = UpstreamId.parse("i-1");
    private static final UpstreamId SECOND = UpstreamId.parse("i-2");
    private static final UpstreamId THIRD = UpstreamId.parse("i-3");

    private final UpstreamPaths paths = new UpstreamPaths();
    private long now = Duration.ofSeconds(100).toNanos();

    @BeforeEach
    void know() {
        List.of(FIRST, SECOND, THIRD).forEach(paths::add);
    }

    @Test
    void singleUpstreamThatCrashesIsNoCut() {
        paths.failed(FIRST, now);
        paths.failed(FIRST, now + 1);
        assertThat(paths.isCutOff()).isFalse();
        assertThat(paths.isBroken(FIRST)).isTrue();
        assertThat(paths.isBroken(SECOND)).isFalse();
    }

    @Test
    void upstreamsThatCrashWhileOthersAnswerAreNoCut() {
        paths.failed(FIRST, now);
        paths.heard(THIRD, now, now + 1);
        paths.failed(SECOND, now + 2);
        assertThat(paths.isCutOff()).isFalse();
        assertThat(paths.brokenCount()).isEqualTo(2);
    }

    @Test
    void connectionsThatFailAtTheSameMomentWhileOthersAnswerAreNoCut() {
        paths.heard(THIRD, now, now);
        now += Duration.ofMillis(20).toNanos();
        paths.failed(FIRST, now);
        assertThat(paths.failed(SECOND, now)).isEqualTo(Change.NONE);
        now += Duration.ofMillis(200).toNanos();
        assertThat(paths.failed(SECOND, now)).as("still nothing").isEqualTo(Change.CUT_OFF);
    }

    // A host probed just the two upstreams that were down, and went on through tunnels.
    @Test
    void allUpstreamsAreProbedInTurnsWhileTheHostIsCutOff() {
        paths.failed(FIRST, now);
        paths.failed(SECOND, now);
        assertThat(paths.isCutOff()).isTrue();
        Set<UpstreamId> probed = new HashSet<>();
        for (int turn = 0; turn < 3; turn++) {
            now += Duration.ofMillis(250).toNanos();
            probed.addAll(paths.dueProbes(now));
        }
        assertThat(probed).containsExactlyInAnyOrder(FIRST, SECOND, THIRD);
    }

    // A host went through tunnels until the upstreams that were down had been probed again.
    @Test
    void upstreamsThatHaveNotFailedAreProbedFirstAndAtOnce() {
        paths.failed(FIRST, now);
        paths.failed(SECOND, now);
        assertThat(paths.dueProbes(now)).containsExactly(THIRD);
        assertThat(paths.dueProbes(now + 1)).as("the others take their turns").isEmpty();
    }

    // A host whose older connections lived on did not notice that new ones failed, and helped
    // others.
    @Test
    void hostIsCutOffFromNewConnectionsThoughOlderOnesAnswer() {
        long before = now - 1;
        for (UpstreamId id : List.of(FIRST, SECOND)) {
            paths.heard(THIRD, before, ++now);
            assertThat(paths.failed(id, ++now)).isEqualTo(Change.NONE);
        }
        assertThat(paths.isImpaired(now)).isTrue();
        assertThat(paths.dueProbes(now)).as("before it sends requests there").contains(THIRD);
        assertThat(paths.failed(THIRD, ++now)).isEqualTo(Change.CUT_OFF);
        assertThat(paths.heard(THIRD, before, ++now)).as("an old one").isEqualTo(Change.NONE);
        assertThat(paths.heard(THIRD, now, ++now)).isEqualTo(Change.REACHES_AGAIN);
    }

    @Test
    void upstreamsThatStayDownAreNoFurtherEvidenceOfACut() {
        paths.failed(FIRST, now);
        paths.heard(THIRD, now + 1, now + 2);
        paths.failed(SECOND, now + 3);
        paths.heard(THIRD, now + 4, now + 5);
        paths.failed(FIRST, now + 6);
        paths.failed(SECOND, now + 7);
        assertThat(paths.dueProbes(now + 8)).isEmpty();
    }

    // Probes failed from then on, as there was none to take its turn.
    @Test
    void cutHostThatKnowsNoUpstreamAnyMoreProbesNone() {
        paths.failed(FIRST, now);
        paths.failed(SECOND, now);
        List.of(FIRST, SECOND, THIRD).forEach(paths::forget);
        assertThat(paths.dueProbes(now + Duration.ofSeconds(1).toNanos())).isEmpty();
    }

    @Test
    void severalFailuresWithNothingHeardInBetweenAreACut() {
        paths.failed(FIRST, now);
        assertThat(paths.failed(SECOND, now + 1)).isEqualTo(Change.CUT_OFF);
        assertThat(paths.isBroken(THIRD)).as("not tried yet").isTrue();
    }

    @Test
    void answerOnAnOldConnectionDoesNotRestoreThePathOfNewOnes() {
        long sentAt = now;
        paths.failed(FIRST, now + 1);
        paths.heard(FIRST, sentAt, now + 2);
        assertThat(paths.isBroken(FIRST)).isTrue();
        paths.heard(FIRST, now + 3, now + 4);
        assertThat(paths.isBroken(FIRST)).isFalse();
    }

    @Test
    void upstreamThatIsSilentForASecondIsCheckedAndNotBroken() {
        paths.sent(FIRST, now);
        now += Duration.ofMillis(900).toNanos();
        assertThat(paths.dueSilenceChecks(now)).isEmpty();
        now += Duration.ofMillis(101).toNanos();
        assertThat(paths.dueSilenceChecks(now)).containsExactly(FIRST);
        assertThat(paths.dueSilenceChecks(now)).as("under way").isEmpty();
        assertThat(paths.silenceUnconfirmed(FIRST, now)).isEqualTo(Change.NONE);
        assertThat(paths.dueProbes(now)).isEmpty();
        assertThat(paths.isBroken(FIRST)).isFalse();
    }

    // What came from one upstream passed for a sign that the silence of another one is its own.
    @Test
    void silentUpstreamIsCheckedWhileOthersAnswer() {
        paths.sent(FIRST, now);
        for (int i = 0; i < 10; i++) {
            now += Duration.ofMillis(101).toNanos();
            paths.heard(THIRD, now, now);
        }
        assertThat(paths.dueSilenceChecks(now)).containsExactly(FIRST);
    }

    // Requests went on to be sent on new connections that were reset, as the upstream might be
    // full.
    @Test
    void upstreamThatBreaksConnectionsOffIsCheckedOnceASecond() {
        paths.interrupted(FIRST, now);
        paths.interrupted(FIRST, now + 1);
        assertThat(paths.dueBreakOffChecks()).containsExactly(FIRST);
        paths.interrupted(FIRST, now + 3);
        assertThat(paths.dueBreakOffChecks()).isEmpty();
        assertThat(paths.isBroken(FIRST)).isFalse();
        now += Duration.ofSeconds(1).toNanos();
        paths.interrupted(FIRST, now);
        assertThat(paths.dueBreakOffChecks()).containsExactly(FIRST);
    }

    @Test
    void silenceOfAllIsACutOnceItHasOutlastedAStall() {
        paths.heard(THIRD, now, now);
        paths.sent(FIRST, now);
        paths.sent(SECOND, now);
        now += Duration.ofMillis(1001).toNanos();
        assertThat(paths.dueSilenceChecks(now)).containsExactlyInAnyOrder(FIRST, SECOND);
        paths.silenceUnconfirmed(FIRST, now);
        paths.silenceUnconfirmed(SECOND, now);
        assertThat(paths.isBroken(FIRST)).isFalse();
        now += Duration.ofMillis(1001).toNanos();
        assertThat(paths.dueSilenceChecks(now)).containsExactlyInAnyOrder(FIRST, SECOND);
        paths.silenceUnconfirmed(FIRST, now);
        assertThat(paths.silenceUnconfirmed(SECOND, now)).isEqualTo(Change.CUT_OFF);
    }

    // Callers with deadlines of two seconds were held to the end: checks were forgotten with them.
    @Test
    void silenceOfAllIsACutThoughTheRequestsEndBetweenTheChecks() {
        paths.heard(THIRD, now, now);
        paths.sent(FIRST, now);
        paths.sent(SECOND, now);
        now += Duration.ofMillis(1001).toNanos();
        assertThat(paths.dueSilenceChecks(now)).hasSize(2);
        now += Duration.ofMillis(400).toNanos();
        paths.silenceUnconfirmed(FIRST, now);
        paths.silenceUnconfirmed(SECOND, now);
        now += Duration.ofMillis(601).toNanos();
        paths.ended(FIRST);
        paths.ended(SECOND);
        assertThat(paths.dueSilenceChecks(now)).as("nothing is owed").isEmpty();
        now += Duration.ofMillis(100).toNanos();
        paths.sent(FIRST, now);
        paths.sent(SECOND, now);
        assertThat(paths.dueSilenceChecks(now)).hasSize(2);
        paths.ended(FIRST);
        now += Duration.ofMillis(400).toNanos();
        paths.silenceUnconfirmed(FIRST, now);
        assertThat(paths.silenceUnconfirmed(SECOND, now)).isEqualTo(Change.CUT_OFF);
    }

    @Test
    void silenceOfLongAgoIsNotHeldAgainstAnUpstream() {
        paths.sent(FIRST, now);
        now += Duration.ofMillis(1001).toNanos();
        paths.dueSilenceChecks(now);
        paths.silenceUnconfirmed(FIRST, now);
        paths.ended(FIRST);
        now += Duration.ofSeconds(3).toNanos();
        paths.sent(FIRST, now);
        assertThat(paths.dueSilenceChecks(now)).isEmpty();
        now += Duration.ofMillis(1001).toNanos();
        assertThat(paths.dueSilenceChecks(now)).containsExactly(FIRST);
        paths.silenceUnconfirmed(FIRST, now);
        assertThat(paths.isBroken(FIRST)).isFalse();
    }

    @Test
    void cutOffHostProbesOneAfterTheOtherAndAnyAnswerEndsIt() {
        paths.failed(FIRST, now);
        paths.failed(SECOND, now);
        now += Duration.ofSeconds(1).toNanos();
        Set<UpstreamId> first = paths.dueProbes(now);
        assertThat(first).hasSize(1);
        assertThat(paths.dueProbes(now)).as("not due again").isEmpty();
        now += Duration.ofSeconds(1).toNanos();
        assertThat(paths.dueProbes(now)).hasSize(1).doesNotContainAnyElementsOf(first);
        assertThat(paths.heard(THIRD, now, now + 1)).isEqualTo(Change.REACHES_AGAIN);
        assertThat(paths.isBroken(THIRD)).isFalse();
        assertThat(paths.isBroken(FIRST)).as("tried again by a probe alone").isTrue();
    }

    @Test
    void onlyUpstreamThatFailsIsNoCut() {
        paths.forget(SECOND);
        paths.forget(THIRD);
        paths.interrupted(FIRST, now);
        assertThat(paths.isBroken(FIRST)).isFalse();
        paths.failed(FIRST, now);
        assertThat(paths.isCutOff()).isFalse();
        assertThat(paths.isBroken(FIRST)).isTrue();
    }

    /** Whatever comes in whatever order, a host that has just heard an upstream is not cut off. */
    @Property(tries = 200)
    void hostThatHearsAnUpstreamIsNotCutOff(
            @ForAll List<@IntRange(min = 0, max = 3) Integer> events) {
        know();
        List<UpstreamId> all = List.of(FIRST, SECOND, THIRD);
        for (int i = 0; i < events.size(); i++) {
            now += Duration.ofMillis(100).toNanos();
            UpstreamId id = all.get(i % all.size());
            switch (events.get(i)) {
                case 0 -> paths.sent(id, now);
                case 1 -> paths.failed(id, now);
                case 2 -> paths.ended(id);
                default -> {
                    paths.heard(id, now - 1, now);
                    assertThat(paths.isCutOff()).isFalse();
                }
            }
            paths.dueProbes(now).forEach(due -> assertThat(all).contains(due));
        }
    }
}
