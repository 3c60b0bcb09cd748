package io.stackhall.core.residency;

import static io.stackhall.core.fleet.Instances.instance;
import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.ModelId;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Orders for adapters that are in transit, or that an engine has refused to load. */
class AdapterOrdersTest extends ResidencyManagerFixture {

    @BeforeEach
    void knowOneEngine() {
        manager.updateInstances(List.of(instance("e", 1, "a")), now);
    }

    // An engine answered that it was unloaded, and it arrived in a slot that counted as free.
    @Test
    void adapterThatMayBeInTransitIsNotUnloaded() {
        reportAdapters("a1");
        manager.requestAdapter(ENGINE, new ModelId("a"), "a2", now);
        manager.onAnswer(onlyOrder(), EngineAnswer.TAKEN, now);
        manager.recordAdapterUse(new ModelId("a"), "a1", now);
        manager.requestAdapter(ENGINE, new ModelId("a"), "a3", now);
        EngineOrder freeing = onlyOrder();
        assertThat(freeing.load()).isFalse();
        assertThat(freeing.adapter()).contains("a1");
    }

    // It was unloaded to free its slot; the engine counted no order, and refused the next one.
    @Test
    void adapterWhoseLoadWasRefusedTakesNoSlot() {
        reportAdapters("a1");
        manager.requestAdapter(ENGINE, new ModelId("a"), "a2", now);
        manager.onAnswer(onlyOrder(), EngineAnswer.CONFLICT, now);
        advanceMillis(500);
        reportAdapters("a1");
        manager.requestAdapter(ENGINE, new ModelId("a"), "a3", now);
        EngineOrder next = onlyOrder();
        assertThat(next.load()).isTrue();
        assertThat(next.adapter()).contains("a3");
    }

    @Test
    void adapterThatAnUnansweredOrderMayHaveLoadedKeepsItsSlot() {
        reportAdapters("a1");
        manager.requestAdapter(ENGINE, new ModelId("a"), "a2", now);
        refuseAfterALostAnswer(onlyOrder());
        reportAdapters("a1");
        manager.requestAdapter(ENGINE, new ModelId("a"), "a3", now);
        assertThat(onlyOrder().load()).isFalse();
    }
}
