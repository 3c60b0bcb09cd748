package io.stackhall.server.compare;

import io.stackhall.rpc.generated.operators.MeasuresReply;
import io.stackhall.rpc.generated.operators.PlacementMeasures;
import io.stackhall.rpc.generated.operators.TrafficMeasures;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Adds up over time what hosts tell of the policies in force and in shadow.
 *
 * <p>Each host's counts are taken by their rise, so that a host that restarts loses nothing. Of the
 * requests that placement hears of, every member of a zone's group counts the same ones: the host
 * that has heard most speaks for its zone.
 */
public final class PolicyComparison {

    private static final String SHADOW_MARK = " (shadow)";

    /** A policy in one zone. */
    private record Place(String zone, String policy) {}

    private final Map<String, MeasuresReply> latest = new HashMap<>();
    private final TreeMap<String, PolicyTotals> totals = new TreeMap<>();
    private final List<Sample> samples = new ArrayList<>();

    /**
     * What came between two moments.
     *
     * @param seconds from the first moment of all to the end of this interval
     * @param byPolicy what came in it, by policy
     */
    public record Sample(double seconds, Map<String, PolicyTotals> byPolicy) {
        /** Copies the map. */
        public Sample {
            byPolicy = Map.copyOf(byPolicy);
        }
    }

    /**
     * One policy's measures over the whole time.
     *
     * @param policy its name, marked if it decided in shadow
     * @param totals what it has attained and cost
     * @param attainment the share of requests attained
     * @param attainmentPerAccelerator the same, over accelerators
     */
    public record Result(
            String policy,
            PolicyTotals totals,
            double attainment,
            double attainmentPerAccelerator) {}

    /** Takes what the hosts tell at the beginning. */
    public PolicyComparison(List<MeasuresReply> first) {
        first.forEach(reply -> latest.put(reply.getHost(), reply));
    }

    /**
     * Takes what the hosts tell now; one that does not answer is left out, and one that answers for
     * the first time is counted from there.
     *
     * @param seconds since the beginning
     */
    public void add(double seconds, List<MeasuresReply> replies) {
        Map<String, PolicyTotals> rises = new HashMap<>();
        Map<Place, PolicyTotals> placement = new HashMap<>();
        for (MeasuresReply now : replies) {
            MeasuresReply before = latest.getOrDefault(now.getHost(), now);
            rises(trafficOf(before), trafficOf(now))
                    .forEach((policy, rise) -> rises.merge(policy, rise, PolicyTotals::plus));
            rises(placementOf(before), placementOf(now))
                    .forEach(
                            (place, rise) ->
                                    placement.merge(place, rise, PolicyComparison::ofOneZone));
            latest.put(now.getHost(), now);
        }
        placement.forEach((place, rise) -> rises.merge(place.policy(), rise, PolicyTotals::plus));
        rises.forEach((policy, rise) -> totals.merge(policy, rise, PolicyTotals::plus));
        samples.add(new Sample(seconds, rises));
    }

    /** Returns the accelerators of all zones, as far as a host has told of each. */
    public int accelerators() {
        Map<String, Integer> byZone = new HashMap<>();
        latest.values().forEach(of -> byZone.merge(of.getZone(), of.getAccelerators(), Math::max));
        return byZone.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns what came in each interval. */
    public List<Sample> samples() {
        return List.copyOf(samples);
    }

    /** Returns each policy's measures, in order of their names. */
    public List<Result> results() {
        int accelerators = Math.max(1, accelerators());
        List<Result> results = new ArrayList<>();
        totals.forEach(
                (policy, of) ->
                        results.add(
                                new Result(
                                        policy,
                                        of,
                                        of.attainment(),
                                        of.attainment() / accelerators)));
        return results;
    }

    /** Loads are counted by the leader alone, requests by every member. */
    private static PolicyTotals ofOneZone(PolicyTotals left, PolicyTotals right) {
        return new PolicyTotals(
                0,
                0,
                left.loads() + right.loads(),
                left.needlessLoads() + right.needlessLoads(),
                Math.max(left.arrivals(), right.arrivals()),
                Math.max(left.misses(), right.misses()));
    }

    private static <K> Map<K, PolicyTotals> rises(
            Map<K, PolicyTotals> before, Map<K, PolicyTotals> now) {
        Map<K, PolicyTotals> rises = new HashMap<>();
        now.forEach(
                (key, of) ->
                        rises.put(key, of.since(before.getOrDefault(key, PolicyTotals.none()))));
        return rises;
    }

    private static Map<String, PolicyTotals> trafficOf(MeasuresReply reply) {
        Map<String, PolicyTotals> traffic = new HashMap<>();
        for (TrafficMeasures of : reply.getTrafficList()) {
            traffic.put(
                    of.getPolicy(),
                    new PolicyTotals(of.getOffered(), of.getAttained(), 0, 0, 0, 0));
        }
        return traffic;
    }

    private static Map<Place, PolicyTotals> placementOf(MeasuresReply reply) {
        Map<Place, PolicyTotals> placement = new HashMap<>();
        for (PlacementMeasures of : reply.getPlacementList()) {
            String policy = of.getShadow() ? of.getPolicy() + SHADOW_MARK : of.getPolicy();
            placement.put(
                    new Place(of.getZone(), policy),
                    new PolicyTotals(
                            0,
                            0,
                            of.getLoads(),
                            of.getNeedlessLoads(),
                            of.getArrivals(),
                            of.getMisses()));
        }
        return placement;
    }
}
