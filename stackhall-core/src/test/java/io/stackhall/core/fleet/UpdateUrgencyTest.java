package io.stackhall.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests of which reports are passed on at once, batched, or not at all. */
class UpdateUrgencyTest {

    private static final Instance KNOWN = Instances.instance("a", 1, "m");

    /** A host that hears these from its primary alone sends to an instance that has left. */
    @Test
    void changesThatEndWhatWasSentBeforeAreCritical() {
        assertThat(of(Instances.incarnation("a", 7, 1, "m"))).isEqualTo(UpdateUrgency.CRITICAL);
        assertThat(of(KNOWN.withState(InstanceState.DRAINING))).isEqualTo(UpdateUrgency.CRITICAL);
        assertThat(of(Instances.instance("a", "10.0.0.9:1", 2, "m")))
                .isEqualTo(UpdateUrgency.CRITICAL);
    }

    /** An instance that another one displaced is unknown by the id of the report that ended it. */
    @Test
    void instanceThatIsFirstHeardOfAsLeavingOrGoneIsCritical() {
        Instance draining = KNOWN.withState(InstanceState.DRAINING);
        Instance gone = KNOWN.withState(InstanceState.GONE);
        assertThat(UpdateUrgency.of(Optional.empty(), draining)).isEqualTo(UpdateUrgency.CRITICAL);
        assertThat(UpdateUrgency.of(Optional.empty(), gone)).isEqualTo(UpdateUrgency.CRITICAL);
    }

    /** Sent by every control host, each load would reach each entry host several times. */
    @Test
    void whatCanServeMoreIsUrgent() {
        assertThat(UpdateUrgency.of(Optional.empty(), KNOWN)).isEqualTo(UpdateUrgency.URGENT);
        assertThat(of(Instances.instance("a", 2, "m", "n"))).isEqualTo(UpdateUrgency.URGENT);
    }

    @Test
    void turningColdIsCriticalAndWarmingUpNeedsNoUpdate() {
        Instance cold = Instances.coldInstance("c", Duration.ofSeconds(3));
        Instance warm = Instances.coldInstance("c", Duration.ZERO);
        assertThat(UpdateUrgency.of(Optional.of(warm), cold)).isEqualTo(UpdateUrgency.CRITICAL);
        assertThat(UpdateUrgency.of(Optional.of(cold), warm)).isEqualTo(UpdateUrgency.NONE);
    }

    @Test
    void unloadIsBatchedAndAHigherSequenceAloneNeedsNoUpdate() {
        assertThat(of(Instances.instance("a", 2))).isEqualTo(UpdateUrgency.BATCHED);
        assertThat(of(Instances.instance("a", 2, "m"))).isEqualTo(UpdateUrgency.NONE);
    }

    private static UpdateUrgency of(Instance after) {
        return UpdateUrgency.of(Optional.of(KNOWN), after);
    }
}
