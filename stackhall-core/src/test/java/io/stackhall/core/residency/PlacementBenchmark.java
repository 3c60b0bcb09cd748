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
 * Compares estimates of a model's demand, as passed to the placement policy, with the one in use,
 * over the same seeds. Run by {@code bin/bench replay}; prints the mean gain of each and its 95%
 * confidence interval.
 */
class PlacementBenchmark {

    private static final int SEEDS = 30;
    private static final double NORMAL_95 = 1.96;

    @Test
    void compareDemandEstimates() {
        List<PlacementReplay.Outcome> baseline = run((model, asked, nearest) -> asked);
        System.out.printf(
                "BENCH requests urgent=%.4f patient=%.4f loads=%.1f%n",
                mean(baseline, PlacementReplay.Outcome::urgentInTime),
                mean(baseline, PlacementReplay.Outcome::patientInTime),
                mean(baseline, PlacementReplay.Outcome::loads));
        Map<String, PlacementReplay.DemandEstimate> alternatives = new LinkedHashMap<>();
        alternatives.put(
                "by-load", (model, asked, nearest) -> asked * shareOfObjective(model, nearest));
        alternatives.put(
                "half-by-load",
                (model, asked, nearest) -> asked * (1 + shareOfObjective(model, nearest)) / 2);
        alternatives.put(
                "patient-twice",
                (model, asked, nearest) ->
                        model.kind() == PlacementReplay.Kind.PATIENT ? 2 * asked : asked);
        alternatives.forEach((name, estimate) -> compare(name, run(estimate), baseline));
    }

    /** Returns the share of the latency objective that the nearest load takes, at most 1. */
    private static double shareOfObjective(PlacementReplay.Model model, long nearestLoad) {
        return Math.min(1, nearestLoad / (double) model.kind().objectiveMillis());
    }

    private static List<PlacementReplay.Outcome> run(PlacementReplay.DemandEstimate estimate) {
        List<PlacementReplay.Outcome> all = new ArrayList<>();
        for (long seed = 0; seed < SEEDS; seed++) {
            PlacementPolicy policy = PlacementPolicy.of(PolicyName.NEAREST_COPY);
            all.add(new PlacementReplay(seed, policy, estimate).run());
        }
        return all;
    }

    private static void compare(
            String name,
            List<PlacementReplay.Outcome> estimate,
            List<PlacementReplay.Outcome> baseline) {
        System.out.printf(
                "BENCH %s urgent %s patient %s loads %s%n",
                name,
                gain(estimate, baseline, PlacementReplay.Outcome::urgentInTime),
                gain(estimate, baseline, PlacementReplay.Outcome::patientInTime),
                gain(estimate, baseline, PlacementReplay.Outcome::loads));
    }

    private static String gain(
            List<PlacementReplay.Outcome> estimate,
            List<PlacementReplay.Outcome> baseline,
            ToDoubleFunction<PlacementReplay.Outcome> figure) {
        List<Double> gains = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            gains.add(
                    figure.applyAsDouble(estimate.get(seed))
                            - figure.applyAsDouble(baseline.get(seed)));
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
