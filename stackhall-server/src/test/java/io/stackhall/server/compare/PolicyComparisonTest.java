package io.stackhall.server.compare;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.rpc.generated.operators.MeasuresReply;
import io.stackhall.rpc.generated.operators.PlacementMeasures;
import io.stackhall.rpc.generated.operators.TrafficMeasures;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How the counts of several hosts become measures of policies. */
class PolicyComparisonTest {

    @Test
    void onlyWhatCameSinceTheBeginningCountsAndZonesAreAddedUp() {
        PolicyComparison comparison =
                new PolicyComparison(List.of(reply("a", 100, 90, 7), reply("b", 50, 50, 0)));
        comparison.add(2, List.of(reply("a", 110, 95, 9), reply("b", 60, 58, 0)));
        comparison.add(4, List.of(reply("a", 120, 105, 10), reply("b", 60, 58, 0)));
        PolicyComparison.Result result = comparison.results().getFirst();
        assertThat(result.policy()).isEqualTo("expected-gain");
        assertThat(result.totals()).isEqualTo(new PolicyTotals(30, 23, 3, 0, 20, 0));
        assertThat(result.attainment()).isEqualTo(23 / 30.0);
        assertThat(comparison.accelerators()).isEqualTo(4);
    }

    @Test
    void hostThatRestartedOrIsSilentIsCountedOnByWhatItTells() {
        PolicyComparison comparison = new PolicyComparison(List.of(reply("a", 100, 90, 7)));
        comparison.add(2, List.of());
        comparison.add(4, List.of(reply("a", 10, 8, 1)));
        assertThat(comparison.results().getFirst().totals().offered()).isEqualTo(10);
        assertThat(comparison.results().getFirst().totals().loads()).isEqualTo(1);
    }

    @Test
    void policyInShadowStandsBesideTheOneInForceAndThePageShowsBoth() {
        PolicyComparison comparison = new PolicyComparison(List.of(reply("a", 0, 0, 0)));
        comparison.add(1, List.of(reply("late", 500, 500, 0)));
        MeasuresReply.Builder reply = reply("a", 10, 9, 2).toBuilder();
        reply.addPlacement(placement("least-recently-used", true, 5));
        comparison.add(2, List.of(reply.build()));
        assertThat(comparison.results())
                .extracting(PolicyComparison.Result::policy)
                .containsExactly("expected-gain", "least-recently-used (shadow)");
        String page = new ComparisonPage(comparison).html();
        assertThat(page).contains("<td>expected-gain<td>10<td>9<td>0.9000");
        assertThat(page).contains("<polyline").doesNotContain("NaN").doesNotContain("http");
    }

    private static MeasuresReply reply(String host, long offered, long attained, long loads) {
        return MeasuresReply.newBuilder()
                .setHost(host)
                .setZone("plateau")
                .setAccelerators(4)
                .addTraffic(
                        TrafficMeasures.newBuilder()
                                .setPolicy("expected-gain")
                                .setOffered(offered)
                                .setAttained(attained))
                .addPlacement(
                        placement("expected-gain", false, loads).toBuilder().setArrivals(offered))
                .build();
    }

    private static PlacementMeasures placement(String policy, boolean shadow, long loads) {
        return PlacementMeasures.newBuilder()
                .setZone("plateau")
                .setPolicy(policy)
                .setShadow(shadow)
                .setLoads(loads)
                .build();
    }
}
