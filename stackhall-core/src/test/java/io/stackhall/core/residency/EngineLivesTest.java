package io.stackhall.core.residency;

import static io.stackhall.core.fleet.Instances.SERVICE;
import static io.stackhall.core.fleet.Instances.life;
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
import org.junit.jupiter.api.Test;

/** Orders to an engine that starts again under its name. */
class EngineLivesTest {

    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final ResidencyKeeper keeper =
            new ResidencyKeeper(
                    PlacementPolicy.of(PolicyName.NEAREST_COPY),
                    Duration.ofSeconds(5),
                    Duration.ofMillis(1200));
    private long now = Duration.ofSeconds(1000).toNanos();

    @BeforeEach
    void configure() {
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
        keeper.specs(Map.of(SERVICE, spec));
    }

    @Test
    void engineThatStartsAgainUnderItsNameIsCountedAnew() {
        keeper.known(List.of(life("e", 100, 90, "a")), now);
        readLife(100, 7);
        waitsFor("b");
        EngineOrder open = onlyOrder();
        keeper.answered(open, EngineAnswer.UNKNOWN, now);
        keeper.known(List.of(life("e", 200, 1)), now);
        pass(3000);
        readLife(200, 0);
        waitsFor("b");
        EngineOrder order = onlyOrder();
        assertThat(order.instance()).isEqualTo(new UpstreamId("e", 200));
        assertThat(order.expectedTaken()).isZero();
        assertThat(order).isNotEqualTo(open);
    }

    @Test
    void accountOfAnEarlierLifeIsNotCounted() {
        keeper.known(List.of(life("e", 200, 1)), now);
        keeper.read(
                new UpstreamId("e", 200),
                new EngineReport(100, 7, false, List.of(copyOf("a"), copyOf("c"))),
                now);
        waitsFor("b");
        assertThat(orders()).isEmpty();
        pass(500);
        readLife(200, 0);
        assertThat(onlyOrder().expectedTaken()).isZero();
    }

    private void readLife(long born, long taken) {
        keeper.read(
                new UpstreamId("e", born), new EngineReport(born, taken, false, List.of()), now);
    }

    private static ModelCopy copyOf(String model) {
        return new ModelCopy(new ModelId(model), 1, Set.of());
    }

    private void waitsFor(String model) {
        keeper.demanded(
                new HostId("h"), Map.of(new ModelId(model), 3), Map.of(new ModelId(model), 3), now);
    }

    private EngineOrder onlyOrder() {
        List<EngineOrder> sent = orders();
        assertThat(sent).hasSize(1);
        return sent.getFirst();
    }

    private List<EngineOrder> orders() {
        pass(100);
        return sent(keeper.step(now));
    }

    private static List<EngineOrder> sent(List<ResidencyEffect> effects) {
        List<EngineOrder> sent = new ArrayList<>();
        for (ResidencyEffect effect : effects) {
            if (effect instanceof ResidencyEffect.Send(EngineOrder order)) {
                sent.add(order);
            }
        }
        return sent;
    }

    private void pass(long millis) {
        now += millis * MILLI;
    }
}
