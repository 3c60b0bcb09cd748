package io.stackhall.core.residency;

import static io.stackhall.core.fleet.Instances.incarnation;
import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests of orders to an engine that restarts under the same name. */
class EngineIncarnationTest extends ResidencyManagerFixture {

    @Test
    void restartedEngineIsCountedFromZero() {
        manager.updateInstances(List.of(incarnation("e", 100, 90, "a")), now);
        reportOrdersTaken(100, 7);
        requestsWaitFor("b");
        EngineOrder open = onlyOrder();
        manager.onAnswer(open, EngineAnswer.UNKNOWN, now);
        manager.updateInstances(List.of(incarnation("e", 200, 1)), now);
        advanceMillis(3000);
        reportOrdersTaken(200, 0);
        requestsWaitFor("b");
        EngineOrder order = onlyOrder();
        assertThat(order.instance()).isEqualTo(new UpstreamId("e", 200));
        assertThat(order.expectedTaken()).isZero();
        assertThat(order).isNotEqualTo(open);
    }

    @Test
    void reportOfAnEarlierIncarnationIsIgnored() {
        manager.updateInstances(List.of(incarnation("e", 200, 1)), now);
        manager.onReport(
                new UpstreamId("e", 200),
                new EngineReport(100, 7, false, List.of(copyOf("a"), copyOf("c"))),
                now);
        requestsWaitFor("b");
        assertThat(orders()).isEmpty();
        advanceMillis(500);
        reportOrdersTaken(200, 0);
        assertThat(onlyOrder().expectedTaken()).isZero();
    }

    private void reportOrdersTaken(long born, long taken) {
        manager.onReport(
                new UpstreamId("e", born), new EngineReport(born, taken, false, List.of()), now);
    }

    private static ModelCopy copyOf(String model) {
        return new ModelCopy(new ModelId(model), 1, Set.of());
    }
}
