package io.stackhall.core.residency;

import static io.stackhall.core.fleet.Instances.life;
import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Orders to an engine that starts again under its name. */
class EngineLivesTest extends KeeperFixture {

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
}
