package io.stackhall.core.residency;

import static io.stackhall.core.fleet.Instances.SERVICE;
import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.config.PolicyName;
import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.policy.PlacementPolicy;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.ModelWeights;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;

/** Base of tests with a {@link ResidencyManager} whose engines hold at most two of three models. */
abstract class ResidencyManagerFixture {

    static final UpstreamId ENGINE = new UpstreamId("e");
    static final long MILLI = Duration.ofMillis(1).toNanos();

    final ResidencyManager manager =
            new ResidencyManager(
                    PlacementPolicy.of(PolicyName.NEAREST_COPY),
                    Duration.ofSeconds(5),
                    Duration.ofMillis(1200));
    long now = Duration.ofSeconds(1000).toNanos();

    @BeforeEach
    void configureEngines() {
        List<ModelWeights> models = new ArrayList<>();
        for (String name : List.of("a", "b", "c")) {
            models.add(
                    new ModelWeights(
                            new ModelId(name),
                            100,
                            List.of(),
                            1,
                            Duration.ofSeconds(9),
                            Duration.ofSeconds(2),
                            Duration.ofMillis(800)));
        }
        EngineSpec spec = new EngineSpec(4, 1000, 203, 2, 1.4, 200, 600, EngineSpec.byName(models));
        manager.setSpecs(Map.of(SERVICE, spec));
    }

    void requestsWaitFor(String model) {
        manager.recordDemand(
                new HostId("h"), Map.of(new ModelId(model), 3), Map.of(new ModelId(model), 3), now);
    }

    EngineOrder onlyOrder() {
        List<EngineOrder> sent = orders();
        assertThat(sent).hasSize(1);
        return sent.getFirst();
    }

    List<EngineOrder> orders() {
        advanceMillis(100);
        return sent(manager.step(now));
    }

    static List<EngineOrder> sent(List<ResidencyEffect> effects) {
        List<EngineOrder> sent = new ArrayList<>();
        for (ResidencyEffect effect : effects) {
            if (effect instanceof ResidencyEffect.Send(EngineOrder order)) {
                sent.add(order);
            }
        }
        return sent;
    }

    void advanceMillis(long millis) {
        now += millis * MILLI;
    }

    /** Loses the answer to an order, and refuses the copy of it that is sent then. */
    void refuseAfterALostAnswer(EngineOrder order) {
        manager.onAnswer(order, EngineAnswer.UNKNOWN, now);
        advanceMillis(400);
        onlyOrder();
        manager.onAnswer(order, EngineAnswer.CONFLICT, now);
        advanceMillis(500);
    }

    /** Reports the adapters of the model of the one engine, which counts three orders. */
    void reportAdapters(String... adapters) {
        manager.step(now);
        ModelCopy copy = new ModelCopy(new ModelId("a"), 1, Set.of(adapters));
        manager.onReport(ENGINE, new EngineReport(0, 3, false, List.of(copy)), now);
    }
}
