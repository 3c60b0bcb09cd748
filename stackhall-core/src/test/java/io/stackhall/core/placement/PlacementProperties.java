package io.stackhall.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Invariants under any sequence of lost, late and duplicated orders, restarts and leader changes.
 */
class PlacementProperties {

    @Property(tries = 300, seed = "20261202")
    void nothingIsOvercommittedWhereFencingIsChecked(@ForAll long seed) {
        FakeZone zone = new FakeZone(seed, true);
        zone.runWithFaults(400);
        assertThat(zone.overcommits()).isZero();
    }

    @Property(tries = 300, seed = "20261202")
    void nothingIsOvercommittedWhereFencingIsIgnored(@ForAll long seed) {
        FakeZone zone = new FakeZone(seed, false);
        zone.runWithFaults(400);
        assertThat(zone.overcommits()).isZero();
    }

    @Property(tries = 60, seed = "20261202")
    void everyModelIsLoadedOnceFaultsHaveStopped(@ForAll long seed, @ForAll boolean checked) {
        FakeZone zone = new FakeZone(seed, checked);
        zone.runWithFaults(200);
        zone.runWithoutFaults();
        assertThat(zone.neverServed()).isEmpty();
        assertThat(zone.overcommits()).isZero();
    }
}
