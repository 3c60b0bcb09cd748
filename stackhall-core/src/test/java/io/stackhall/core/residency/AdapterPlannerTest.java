package io.stackhall.core.residency;

import static io.stackhall.core.fleet.Instances.instance;
import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.residency.AdapterPlanner.Change;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.ModelWeights;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests of {@link AdapterPlanner} on an engine with free slots. */
class AdapterPlannerTest {

    private static final ModelId MODEL = new ModelId("a");
    private static final AdapterKey ADAPTER = new AdapterKey(MODEL, "a1");

    private final AdapterPlanner planner = new AdapterPlanner();
    private final EngineTracker engine =
            new EngineTracker(instance("e", 1, "a"), Duration.ofMillis(1200));
    private final EngineSpec spec = spec(2);

    private static EngineSpec spec(int adapterSlots) {
        ModelWeights weights =
                new ModelWeights(
                        MODEL,
                        100,
                        List.of("a1"),
                        1,
                        Duration.ofSeconds(9),
                        Duration.ofSeconds(2),
                        Duration.ofMillis(800));
        return new EngineSpec(
                4, 1000, 300, adapterSlots, 1, 200, 600, EngineSpec.byName(List.of(weights)));
    }

    @Test
    void freeSlotsAreFilled() {
        assertThat(planner.nextChange(engine, spec, true, 0)).contains(new Change(true, ADAPTER));
    }

    // It was refused, and the engine took no adapter for the time until its next report.
    @Test
    void fifthAdapterWaitsWhileFourAreInTransit() {
        for (int order = 0; order < 4; order++) {
            Change load = new Change(true, new AdapterKey(MODEL, "in-transit-" + order));
            engine.slots().applyOrder(order(load, order), order);
        }
        assertThat(planner.nextChange(engine, spec(8), true, 4)).isEmpty();
        long arrived = Duration.ofMillis(50).toNanos();
        assertThat(planner.nextChange(engine, spec(8), true, arrived))
                .contains(new Change(true, ADAPTER));
    }

    private static EngineOrder order(Change change, long expectedTaken) {
        return new EngineOrder(
                new UpstreamId("e"),
                "10.0.0.1:8000",
                change.load(),
                change.key().model(),
                Optional.of(change.key().adapter()),
                expectedTaken,
                false);
    }

    @Test
    void engineWithALimitLoadsOnlyRequestedAdapters() {
        assertThat(planner.nextChange(engine, spec, false, 0)).isEmpty();
        engine.adapterQueue().add(ADAPTER);
        assertThat(planner.nextChange(engine, spec, false, 0)).contains(new Change(true, ADAPTER));
    }
}
