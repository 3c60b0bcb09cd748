package io.stackhall.core.policy;

import io.stackhall.core.config.PolicyName;
import java.util.List;

/**
 * Decides which artifacts to load and evict.
 *
 * <p>A wrong estimate cannot cause harm: the component that carries out an action checks memory and
 * the weight store's limits first. Policies are stateless, so that the policy can be switched
 * between two decisions.
 *
 * @see ExpectedGainPolicy
 * @see NearestCopyPolicy
 * @see LeastRecentlyUsedPolicy
 * @see StaticPolicy
 */
public sealed interface PlacementPolicy
        permits ExpectedGainPolicy, NearestCopyPolicy, LeastRecentlyUsedPolicy, StaticPolicy {

    /**
     * Returns the next actions, most urgent first. There is at most one per upstream, except that
     * an unload may be followed directly by the load that it makes room for.
     */
    List<PlacementAction> decide(PlacementView view);

    /** Returns the policy with a configured name. */
    static PlacementPolicy of(PolicyName name) {
        return switch (name) {
            case EXPECTED_GAIN -> new ExpectedGainPolicy();
            case NEAREST_COPY -> new NearestCopyPolicy();
            case LEAST_RECENTLY_USED -> new LeastRecentlyUsedPolicy();
            case STATIC -> new StaticPolicy();
        };
    }
}
