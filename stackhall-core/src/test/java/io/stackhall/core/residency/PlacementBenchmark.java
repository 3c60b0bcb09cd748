package io.stackhall.core.residency;

import io.stackhall.core.config.PolicyName;
import io.stackhall.core.policy.PlacementPolicy;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;

/**
 * Ways to tell the policy what a model's demand is worth, against the one that stands, over the
 * same seeds: {@code bin/bench replay}. Prints the mean gain of each and its 95% interval.
 */
class PlacementBenchmark {

    private static final int SEEDS = 30;
    private static final double NORMAL_95 = 1.96;

    @Test
    void waysToTellDemand() {
        List<PlacementReplay.Outcome> stands = play((model, asked, nearest) -> asked);
        System.out.printf(
                "BENCH requests urgent=%.4f patient=%.4f loads=%.1f%n",
                mean(stands, PlacementReplay.Outcome::urgentInTime),
                mean(stands, PlacementReplay.Outcome::patientInTime),
                mean(stands, PlacementReplay.Outcome::loads));
        Map<String, PlacementReplay.DemandEstimate> others = new LinkedHashMap<>();
        others.put("by-load", (model, asked, nearest) -> asked * missed(model, nearest));
        others.put(
                "half-by-load",
                (model, asked, nearest) -> asked * (1 + missed(model, nearest)) / 2);
        others.put(
                "patient-twice",
                (model, asked, nearest) ->
                        model.kind() == PlacementReplay.Kind.PATIENT ? 2 * asked : asked);
        others.forEach((name, way) -> compare(name, play(way), stands));
    }

    /** Returns which part of the objective the nearest load takes, all of it at most. */
    private static double missed(PlacementReplay.Model model, long nearestLoad) {
        return Math.min(1, nearestLoad / (double) model.kind().objectiveMillis());
    }

    private static List<PlacementReplay.Outcome> play(PlacementReplay.DemandEstimate way) {
        List<PlacementReplay.Outcome> all = new ArrayList<>();
        for (long seed = 0; seed < SEEDS; seed++) {
            PlacementPolicy policy = PlacementPolicy.of(PolicyName.NEAREST_COPY);
            all.add(new PlacementReplay(seed, policy, way).run());
        }
        return all;
    }

    private static void compare(
            String name, List<PlacementReplay.Outcome> way, List<PlacementReplay.Outcome> stands) {
        System.out.printf(
                "BENCH %s urgent %s patient %s loads %s%n",
                name,
                gain(way, stands, PlacementReplay.Outcome::urgentInTime),
                gain(way, stands, PlacementReplay.Outcome::patientInTime),
                gain(way, stands, PlacementReplay.Outcome::loads));
    }

    private static String gain(
            List<PlacementReplay.Outcome> way,
            List<PlacementReplay.Outcome> stands,
            ToDoubleFunction<PlacementReplay.Outcome> figure) {
        List<Double> gains = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            gains.add(figure.applyAsDouble(way.get(seed)) - figure.applyAsDouble(stands.get(seed)));
        }
        double mean = gains.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        double square = gains.stream().mapToDouble(gain -> (gain - mean) * (gain - mean)).sum();
        double half = NORMAL_95 * Math.sqrt(square / (SEEDS - 1) / SEEDS);
        return "%+.4f (%+.4f to %+.4f)".formatted(mean, mean - half, mean + half);
    }

    private static double mean(
            List<PlacementReplay.Outcome> all, ToDoubleFunction<PlacementReplay.Outcome> figure) {
        return all.stream().mapToDouble(figure).average().orElse(0);
    }
}
