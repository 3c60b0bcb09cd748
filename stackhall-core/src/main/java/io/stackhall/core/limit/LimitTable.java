package io.stackhall.core.limit;

import io.stackhall.core.id.UpstreamId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The latest update of each upstream's limit. Updates may arrive in any order and repeatedly.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class LimitTable {

    private final Map<UpstreamId, LimitUpdate> updates = new HashMap<>();

    /** Merges an update, and returns whether it is newer than the known one. */
    public boolean merge(LimitUpdate update) {
        if (update.revision().compareTo(find(update.upstream()).revision()) <= 0) {
            return false;
        }
        updates.put(update.upstream(), update);
        return true;
    }

    /** Returns the latest update of an upstream, or one without a limit if there is none. */
    public LimitUpdate find(UpstreamId upstream) {
        LimitUpdate update = updates.get(upstream);
        return update == null ? LimitUpdate.none(upstream) : update;
    }

    /** Returns the latest update of each upstream that ever had a limit. */
    public Collection<LimitUpdate> all() {
        return List.copyOf(updates.values());
    }

    /** Returns the updates of all upstreams that have a limit now. */
    public List<LimitUpdate> inForce() {
        return updates.values().stream().filter(LimitUpdate::limited).toList();
    }

    /** Removes an upstream that is gone. */
    public void forget(UpstreamId upstream) {
        updates.remove(upstream);
    }

    /** Removes all upstreams except the given ones. */
    public void retain(Set<UpstreamId> upstreams) {
        updates.keySet().retainAll(upstreams);
    }
}
