package io.stackhall.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.ZoneId;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests of evacuated zones under repeated, late and reordered updates. */
class EvacuatedZonesTest {

    private static final ZoneId ZONE = new ZoneId("plateau");

    @Test
    void repeatedOrdersChangeNothing() {
        EvacuatedZones once = EvacuatedZones.none().with(ZONE);
        assertThat(once.with(ZONE)).isEqualTo(once);
        assertThat(once.without(ZONE).without(ZONE)).isEqualTo(once.without(ZONE));
        assertThat(once.without(ZONE).contains(ZONE)).isFalse();
    }

    @Property
    boolean hostsThatReceiveTheSameUpdatesInAnyOrderAgree(@ForAll List<Boolean> orders) {
        EvacuatedZones state = EvacuatedZones.none();
        EvacuatedZones inOrder = state;
        EvacuatedZones inReverse = state;
        List<EvacuatedZones> updates = new ArrayList<>();
        for (boolean starts : orders) {
            state = starts ? state.with(ZONE) : state.without(ZONE);
            updates.add(state);
        }
        for (EvacuatedZones each : updates) {
            inOrder = inOrder.newer(each);
        }
        for (EvacuatedZones each : updates.reversed()) {
            inReverse = inReverse.newer(each);
        }
        return inOrder.equals(state) && inReverse.equals(state);
    }
}
