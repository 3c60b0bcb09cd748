package io.stackhall.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.dispatch.Admission.Verdict;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests which requests wait, and which are refused at once. */
class AdmissionTest {

    private static final long NOW = Duration.ofSeconds(100).toNanos();
    private static final Duration TIMEOUT = Duration.ofMillis(2850);

    private final Admission admission = new Admission(NOW + TIMEOUT.toNanos());

    @Test
    void refusesWhenLoadCompletesAfterDeadline() {
        assertThat(decide(new Choice.ModelComing(Duration.ofSeconds(3)), 0))
                .isEqualTo(
                        new Verdict.GiveUp(
                                "the load of its model ends too late", Duration.ofMillis(3300)));
    }

    @Test
    void waitsForLoadFromDiskWhetherStartedOrNot() {
        assertThat(decide(new Choice.ModelMissing(Duration.ofMillis(2300)), 0))
                .isEqualTo(new Verdict.Wait(WaitReason.MODEL_ABSENT));
        assertThat(decide(new Choice.ModelComing(Duration.ofMillis(2300)), 0))
                .isEqualTo(new Verdict.Wait(WaitReason.MODEL_LOADING));
    }

    @Test
    void refusesInsteadOfWaitingForLoadFromStore() {
        assertThat(decide(new Choice.ModelMissing(Duration.ofSeconds(9)), 0))
                .isEqualTo(
                        new Verdict.GiveUp("its model is not resident", Duration.ofMillis(9300)));
    }

    /**
     * Guards against requests that waited nearly to their deadlines for loads that had not started.
     */
    @Test
    void waitsForLoadNotStartedOnlyWhileItCanCompleteInTime() {
        Choice missing = new Choice.ModelMissing(Duration.ofMillis(2300));
        assertThat(decide(missing, 0)).isEqualTo(new Verdict.Wait(WaitReason.MODEL_ABSENT));
        long soon = NOW + Duration.ofSeconds(1).toNanos();
        assertThat(admission.decide(missing, 0, soon))
                .isEqualTo(new Verdict.Wait(WaitReason.MODEL_ABSENT));
        long later = NOW + Duration.ofMillis(1100).toNanos();
        assertThat(admission.decide(missing, 0, later))
                .isEqualTo(
                        new Verdict.GiveUp("its model is not resident", Duration.ofMillis(2600)));
    }

    @Test
    void refusesWhenTooManyRequestsAreAheadForTheDeadline() {
        assertThat(decide(new Choice.Full(10), 28)).isEqualTo(new Verdict.Wait(WaitReason.FULL));
        assertThat(decide(new Choice.Full(10), 40))
                .isEqualTo(
                        new Verdict.GiveUp("too many wait for its model", Duration.ofSeconds(4)));
    }

    @Test
    void refusesWhenEveryInstanceHasBeenTried() {
        assertThat(decide(new Choice.AllTried(), 0))
                .isEqualTo(
                        new Verdict.GiveUp(
                                "every instance of its service has been tried",
                                Duration.ofMillis(300)));
    }

    @Test
    void waitsForSlotUntilDeadlineWhenRateIsUnknown() {
        assertThat(decide(new Choice.Full(0), 1000)).isEqualTo(new Verdict.Wait(WaitReason.FULL));
        assertThat(admission.decide(new Choice.Full(0), 1000, NOW + TIMEOUT.toNanos()))
                .isInstanceOf(Verdict.GiveUp.class);
    }

    private Verdict decide(Choice choice, int ahead) {
        return admission.decide(choice, ahead, NOW);
    }
}
