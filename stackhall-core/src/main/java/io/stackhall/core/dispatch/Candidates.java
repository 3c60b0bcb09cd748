package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.core.quarantine.Trials;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** The instances that may get one request, each with its score; the least one wins. */
final class Candidates {

    private final List<ScoredInstance> scored = new ArrayList<>();

    private record ScoredInstance(Instance instance, double score) {}

    /**
     * Adds an instance.
     *
     * @param apart by what a request that is to be kept apart picks, whatever the score
     */
    void add(Instance instance, double score, Optional<RequestDigest> apart) {
        double order =
                apart.map(request -> (double) Trials.order(request, instance.id())).orElse(score);
        scored.add(new ScoredInstance(instance, order));
    }

    boolean isEmpty() {
        return scored.isEmpty();
    }

    /** Returns the one with the least score; among equals any. */
    Instance lowestScore(RandomGenerator random) {
        ScoredInstance best = scored.get(random.nextInt(scored.size()));
        for (ScoredInstance candidate : scored) {
            if (candidate.score() < best.score()) {
                best = candidate;
            }
        }
        return best.instance();
    }
}
