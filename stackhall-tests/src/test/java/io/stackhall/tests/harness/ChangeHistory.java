package io.stackhall.tests.harness;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Which configurations of a soak have been acknowledged, and which denials they allow. */
final class ChangeHistory {

    /** The time within which an acknowledged change has to be in force. */
    private static final Duration APPLIED = Duration.ofSeconds(2);

    private static final int NOT_FOUND = 404;

    /** Answers after which callers do not come again. */
    private static final Set<Integer> DENIALS = Set.of(400, 401, 403, NOT_FOUND, 413, 414, 431);

    private final Map<Long, Long> acknowledgedAt = new ConcurrentHashMap<>();
    private final AtomicLong newest = new AtomicLong();

    /** Records that a version has been acknowledged. */
    void acknowledged(long version) {
        acknowledgedAt.put(version, System.nanoTime());
        newest.accumulateAndGet(version, Math::max);
    }

    /** Returns the newest version that has been acknowledged, 0 before the first. */
    long newest() {
        return newest.get();
    }

    /** Returns whether a version had to be in force everywhere when a request was sent. */
    boolean hasToBeInForce(long version, long sentAt) {
        return sentAt - acknowledgedAt.get(version) > APPLIED.toNanos();
    }

    /**
     * Returns whether an answer denies what every configuration allows that could have been in
     * force. A host that is out of touch has to refuse it with a retry delay.
     */
    boolean isWrongDenial(int status, String path, long sentAt) {
        if (!DENIALS.contains(status)) {
            return false;
        }
        Optional<Long> added = SoakConfiguration.versionThatAdded(path);
        return status != NOT_FOUND
                || added.isEmpty()
                || (acknowledgedAt.containsKey(added.get()) && hasToBeInForce(added.get(), sentAt));
    }
}
