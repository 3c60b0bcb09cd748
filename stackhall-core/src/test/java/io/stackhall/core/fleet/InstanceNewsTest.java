package io.stackhall.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** What entry hosts hear of an instance at once, with other changes, or not at all. */
class InstanceNewsTest {

    private static final Instance KNOWN = Instances.instance("a", 1, "m");

    @Test
    void whatDecidesWhereRequestsGoIsToldAtOnce() {
        assertThat(InstanceNews.of(Optional.empty(), KNOWN)).isEqualTo(InstanceNews.URGENT);
        assertThat(of(Instances.life("a", 7, 1, "m"))).isEqualTo(InstanceNews.URGENT);
        assertThat(of(KNOWN.withState(InstanceState.DRAINING))).isEqualTo(InstanceNews.URGENT);
        assertThat(of(Instances.instance("a", "10.0.0.9:1", 2, "m")))
                .isEqualTo(InstanceNews.URGENT);
        assertThat(of(Instances.instance("a", 2, "m", "n"))).isEqualTo(InstanceNews.URGENT);
    }

    @Test
    void instanceThatTurnsColdIsToldAtOnceAndOneThatWarmsIsNot() {
        Instance cold = Instances.cold("c", Duration.ofSeconds(3));
        Instance warm = Instances.cold("c", Duration.ZERO);
        assertThat(InstanceNews.of(Optional.of(warm), cold)).isEqualTo(InstanceNews.URGENT);
        assertThat(InstanceNews.of(Optional.of(cold), warm)).isEqualTo(InstanceNews.NONE);
    }

    @Test
    void whatIsUnloadedIsToldWithOtherChangesAndARisenSequenceNever() {
        assertThat(of(Instances.instance("a", 2))).isEqualTo(InstanceNews.SOON);
        assertThat(of(Instances.instance("a", 2, "m"))).isEqualTo(InstanceNews.NONE);
    }

    private static InstanceNews of(Instance after) {
        return InstanceNews.of(Optional.of(KNOWN), after);
    }
}
