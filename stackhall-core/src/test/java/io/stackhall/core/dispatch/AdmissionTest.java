package io.stackhall.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.dispatch.Admission.Verdict;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Which requests wait, and which are given up at once. */
class AdmissionTest {

    private static final long NOW = Duration.ofSeconds(100).toNanos();
    private static final Duration TIME = Duration.ofMillis(2850);

    private final Admission admission = new Admission(NOW + TIME.toNanos());

    @Test
    void loadThatEndsAfterTheCallerHasLeftIsNotAwaited() {
        assertThat(judge(new Choice.ModelComing(Duration.ofSeconds(3)), 0))
                .isEqualTo(
                        new Verdict.GiveUp(
                                "the load of its model ends too late", Duration.ofMillis(3300)));
    }

    @Test
    void loadFromDiskIsAwaitedWhetherBegunOrNot() {
        assertThat(judge(new Choice.ModelMissing(Duration.ofMillis(2300)), 0))
                .isEqualTo(new Verdict.Wait(WaitReason.MODEL_ABSENT));
        assertThat(judge(new Choice.ModelComing(Duration.ofMillis(2300)), 0))
                .isEqualTo(new Verdict.Wait(WaitReason.MODEL_LOADING));
    }

    @Test
    void loadFromTheStoreIsNotAwaited() {
        assertThat(judge(new Choice.ModelMissing(Duration.ofSeconds(9)), 0))
                .isEqualTo(
                        new Verdict.GiveUp("its model is not resident", Duration.ofMillis(9300)));
    }

    /** Requests waited nearly to their deadlines for loads that had not begun. */
    @Test
    void loadThatHasNotBegunIsAwaitedOnlyWhileItCanEndInTime() {
        Choice missing = new Choice.ModelMissing(Duration.ofMillis(2300));
        assertThat(judge(missing, 0)).isEqualTo(new Verdict.Wait(WaitReason.MODEL_ABSENT));
        long soon = NOW + Duration.ofSeconds(1).toNanos();
        assertThat(admission.decide(missing, 0, soon))
                .isEqualTo(new Verdict.Wait(WaitReason.MODEL_ABSENT));
        long later = NOW + Duration.ofMillis(1100).toNanos();
        assertThat(admission.decide(missing, 0, later))
                .isEqualTo(
                        new Verdict.GiveUp("its model is not resident", Duration.ofMillis(2600)));
    }

    @Test
    void requestBehindMoreThanComeFreeInItsTimeIsGivenUpAtOnce() {
        assertThat(judge(new Choice.Full(10), 28)).isEqualTo(new Verdict.Wait(WaitReason.FULL));
        assertThat(judge(new Choice.Full(10), 40))
                .isEqualTo(
                        new Verdict.GiveUp("too many wait for its model", Duration.ofSeconds(4)));
    }

    @Test
    void whoeverHasTriedEveryInstanceIsGivenUpAtOnce() {
        assertThat(judge(new Choice.AllTried(), 0))
                .isEqualTo(
                        new Verdict.GiveUp(
                                "every instance of its service has been tried",
                                Duration.ofMillis(300)));
    }

    @Test
    void placeIsAwaitedToTheEndWhereItsTimeIsNotKnown() {
        assertThat(judge(new Choice.Full(0), 1000)).isEqualTo(new Verdict.Wait(WaitReason.FULL));
        assertThat(admission.decide(new Choice.Full(0), 1000, NOW + TIME.toNanos()))
                .isInstanceOf(Verdict.GiveUp.class);
    }

    private Verdict judge(Choice choice, int ahead) {
        return admission.decide(choice, ahead, NOW);
    }
}
