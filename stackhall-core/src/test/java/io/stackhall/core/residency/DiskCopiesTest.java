package io.stackhall.core.residency;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.fleet.Instances;
import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.ModelWeights;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Which weights on an engine's disk give way to others. */
class DiskCopiesTest {

    private static final Set<ModelId> KEPT = models("a", "b", "c");

    private final DiskCopies copies = new DiskCopies();

    @Test
    void nothingGivesWayWhileThereIsRoom() {
        assertThat(copies.givesWay(serving("a"), spec(400))).isEmpty();
    }

    @Test
    void anyThatIsNotServedMayGiveWayWhereNoneHasBeenServed() {
        assertThat(copies.givesWay(serving("a"), spec(300))).isEqualTo(models("b", "c"));
    }

    @Test
    void theOneThatWasServedLongestAgoGivesWay() {
        copies.served(serving("b"), 1);
        copies.served(serving("c"), 2);
        copies.served(serving("a"), 3);
        assertThat(copies.givesWay(serving("a"), spec(300))).isEqualTo(models("b"));
    }

    private static Instance serving(String model) {
        return new Instance(
                new UpstreamId("e"),
                Instances.SERVICE,
                "10.0.0.1:80",
                new ZoneId("plateau"),
                4,
                InstanceState.READY,
                1,
                Duration.ZERO,
                List.of(new ModelCopy(new ModelId(model), 1, Set.of())),
                Set.of(),
                KEPT,
                0);
    }

    private static EngineSpec spec(double diskMb) {
        List<ModelWeights> weights =
                KEPT.stream()
                        .map(
                                model ->
                                        new ModelWeights(
                                                model,
                                                100,
                                                List.of(),
                                                1,
                                                Duration.ofSeconds(6),
                                                Duration.ofSeconds(1),
                                                Duration.ofSeconds(1)))
                        .toList();
        return new EngineSpec(4, 1000, 300, 2, 1, 100, diskMb, EngineSpec.byName(weights));
    }

    private static Set<ModelId> models(String... names) {
        return Arrays.stream(names).map(ModelId::new).collect(Collectors.toSet());
    }
}
