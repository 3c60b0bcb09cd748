package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.quarantine.CrashCause;
import io.stackhall.core.quarantine.SuspectIsolation;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** The instances that may get one request, each with a score; the lowest score wins. */
final class Candidates {

    private final List<ScoredInstance> scored = new ArrayList<>();

    private record ScoredInstance(Instance instance, double score) {}

    /**
     * Adds an instance.
     *
     * @param suspect the possible cause of crashes for which a request must run in isolation: its
     *     instance follows from the cause instead of the score
     */
    void add(Instance instance, double score, Optional<CrashCause> suspect) {
        double order =
                suspect.map(cause -> (double) SuspectIsolation.rank(cause, instance.id()))
                        .orElse(score);
        scored.add(new ScoredInstance(instance, order));
    }

    boolean isEmpty() {
        return scored.isEmpty();
    }

    /** Returns the instance with the lowest score; ties are broken arbitrarily. */
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
