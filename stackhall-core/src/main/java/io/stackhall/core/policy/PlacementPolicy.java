package io.stackhall.core.policy;

import io.stackhall.core.config.PolicyName;
import java.util.List;

/**
 * Decides which artifacts to load and evict.
 *
 * <p>A policy is free to be wrong about value but cannot harm: whoever carries its moves out checks
 * memory and the weight store's limits for each. It keeps no state of its own beside the view, so
 * that it can be changed between two decisions.
 *
 * @see ExpectedGainPolicy
 * @see NearestCopyPolicy
 * @see LeastRecentlyUsedPolicy
 * @see StaticPolicy
 */
public sealed interface PlacementPolicy
        permits ExpectedGainPolicy, NearestCopyPolicy, LeastRecentlyUsedPolicy, StaticPolicy {

    /**
     * Returns the next moves, most urgent first; at most one for each upstream, but for an unload
     * and right behind it the load that it makes room for.
     */
    List<PlacementAction> decide(PlacementView view);

    /** Returns the policy of a name. */
    static PlacementPolicy of(PolicyName name) {
        return switch (name) {
            case EXPECTED_GAIN -> new ExpectedGainPolicy();
            case NEAREST_COPY -> new NearestCopyPolicy();
            case LEAST_RECENTLY_USED -> new LeastRecentlyUsedPolicy();
            case STATIC -> new StaticPolicy();
        };
    }
}
