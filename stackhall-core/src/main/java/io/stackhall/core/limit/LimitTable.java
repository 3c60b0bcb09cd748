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

    private final Map<UpstreamId, LimitWord> words = new HashMap<>();

    /** Takes in a word, and returns whether it is newer than what was known. */
    public boolean merge(LimitWord word) {
        if (word.revision().compareTo(find(word.upstream()).revision()) <= 0) {
            return false;
        }
        words.put(word.upstream(), word);
        return true;
    }

    /** Returns the newest word of an upstream. */
    public LimitWord find(UpstreamId upstream) {
        LimitWord word = words.get(upstream);
        return word == null ? LimitWord.none(upstream) : word;
    }

    /** Returns the newest word of each upstream that ever had a limit. */
    public Collection<LimitWord> all() {
        return List.copyOf(words.values());
    }

    /** Returns the words that name a limit. */
    public List<LimitWord> inForce() {
        return words.values().stream().filter(LimitWord::limited).toList();
    }

    /** Forgets an upstream that is gone. */
    public void forget(UpstreamId upstream) {
        words.remove(upstream);
    }

    /** Forgets all upstreams but some. */
    public void retain(Set<UpstreamId> upstreams) {
        words.keySet().retainAll(upstreams);
    }
}
