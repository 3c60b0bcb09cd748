package io.stackhall.core.quarantine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The parts of prompts on which this host has lately had a whole answer. A part that crashes
 * whatever runs it never has one, so that these are no possible causes: without this, the part that
 * all prompts share would be convicted while all instances crash again and again.
 */
final class ProvenParts {

    /** A part that turns fatal after it was sound is not suspected for this long. */
    private static final Duration RETENTION = Duration.ofSeconds(15);

    /** The parts that many requests share; the entries take about 300 KB. */
    private static final int MAX_PARTS = 2000;

    private final Map<PromptPartDigest, Long> answeredAt =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<PromptPartDigest, Long> eldest) {
                    return size() > MAX_PARTS;
                }
            };

    /** Records a whole answer on a part. */
    void add(PromptPartDigest part, long now) {
        answeredAt.remove(part);
        answeredAt.put(part, now);
    }

    boolean contains(PromptPartDigest part, long now) {
        Long at = answeredAt.get(part);
        return at != null && now - at < RETENTION.toNanos();
    }
}
