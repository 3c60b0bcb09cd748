package io.stackhall.core.limit;

import io.stackhall.core.id.UpstreamId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The newest word on each upstream's limit, whatever the order in which words come and however
 * often.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class LimitTable {

    private final Map<UpstreamId, LimitUpdate> updates = new HashMap<>();

    /** Takes in a word, and returns whether it is newer than what was known. */
    public boolean merge(LimitUpdate word) {
        if (word.revision().compareTo(find(word.upstream()).revision()) <= 0) {
            return false;
        }
        updates.put(word.upstream(), word);
        return true;
    }

    /** Returns the newest word of an upstream. */
    public LimitUpdate find(UpstreamId upstream) {
        LimitUpdate word = updates.get(upstream);
        return word == null ? LimitUpdate.none(upstream) : word;
    }

    /** Returns the newest word of each upstream that ever had a limit. */
    public Collection<LimitUpdate> all() {
        return List.copyOf(updates.values());
    }

    /** Returns the words that name a limit. */
    public List<LimitUpdate> inForce() {
        return updates.values().stream().filter(LimitUpdate::limited).toList();
    }

    /** Forgets an upstream that is gone. */
    public void forget(UpstreamId upstream) {
        updates.remove(upstream);
    }

    /** Forgets all upstreams but some. */
    public void retain(Set<UpstreamId> upstreams) {
        updates.keySet().retainAll(upstreams);
    }
}
