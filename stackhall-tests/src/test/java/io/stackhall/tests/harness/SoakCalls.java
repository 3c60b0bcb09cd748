package io.stackhall.tests.harness;

import java.io.IOException;
import java.net.ConnectException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Calls of a soak. A caller comes again with the id of an answered try, and each try is held
 * against what upstreams did since it began.
 */
final class SoakCalls {

    private static final int OK = 200;
    private static final int ERROR = 500;
    private static final int UNAVAILABLE = 503;

    /** Tries with one id at most. */
    private static final int MOST_TRIES = 3;

    /** What is cut by a kill or a stop may be seen this much later. */
    private static final Duration SEEN_LATER = Duration.ofSeconds(2);

    private final SeededHosts hosts;
    private final TroubledHosts trouble;
    private final RunLog runs;
    private final ChangeHistory changes;
    private final Collection<String> broken;
    private final Map<String, List<Long>> onceTries = new ConcurrentHashMap<>();
    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong tries = new AtomicLong();
    private final AtomicLong served = new AtomicLong();

    SoakCalls(
            SeededHosts hosts,
            TroubledHosts trouble,
            RunLog runs,
            ChangeHistory changes,
            Collection<String> broken) {
        this.hosts = hosts;
        this.trouble = trouble;
        this.runs = runs;
        this.changes = changes;
        this.broken = broken;
    }

    /** Returns an id that no call has had. */
    String newId() {
        return "s" + calls.incrementAndGet();
    }

    /** Returns how many calls and tries there were, and how many tries were served. */
    String account() {
        return "calls=%d tries=%d served=%d answers=%d"
                .formatted(calls.get(), tries.get(), served.get(), runs.size());
    }

    /**
     * Calls a host, and comes again with the same id after most answers. Returns the first answer's
     * status, or 0 where a disturbed host cut the connection.
     */
    int statusOrCut(int host, String path, String name, long sentAt) {
        String id = newId();
        int first = tryOnce(host, path, name, sentAt, id);
        int last = first;
        for (int count = 1; count < MOST_TRIES && hasEnded(last); count++) {
            last = tryOnce(host, path, name, System.nanoTime(), id);
        }
        return first;
    }

    /** Returns whether nothing of a try with this status can still be under way. */
    private static boolean hasEnded(int status) {
        return status == OK || status == ERROR || status == UNAVAILABLE;
    }

    private int tryOnce(int host, String path, String name, long sentAt, String id) {
        long life = trouble.life(name);
        long triedAt = System.nanoTime();
        tries.incrementAndGet();
        if (path.equals(SoakConfiguration.ONCE)) {
            onceTries.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(triedAt);
        }
        try {
            HttpResponse<String> answer = hosts.callRoute(host, path, id);
            trouble.answered(name, life);
            check(path, id, triedAt, answer);
            return answer.statusCode();
        } catch (ConnectException e) {
            if (!trouble.mayHaveRefused(name, triedAt)) {
                broken.add(id + " was refused by " + name + " at " + Instant.now() + ": " + e);
            }
            return 0;
        } catch (IOException e) {
            long since = Math.min(sentAt, System.nanoTime() - SEEN_LATER.toNanos());
            if (trouble.quietFor(SEEN_LATER, name, since)) {
                broken.add(id + " was cut by " + name + ", which nobody had disturbed: " + e);
            }
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private void check(String path, String id, long triedAt, HttpResponse<String> answer) {
        int status = answer.statusCode();
        served.addAndGet(status == OK ? 1 : 0);
        if (changes.isWrongDenial(status, path, triedAt)) {
            broken.add(id + " was denied with " + status + " at " + Instant.now() + " for " + path);
        }
        boolean ofUpstream = status == OK || status == ERROR || RunLog.isOfUpstream(answer.body());
        if (ofUpstream && !runs.holds(path, id, triedAt, status, answer.body())) {
            broken.add(
                    "%s got %d %s for %s, which is no answer to this try"
                            .formatted(id, status, answer.body(), path));
        }
        if (status == UNAVAILABLE && runs.count(path, id, triedAt, System.nanoTime()) > 0) {
            broken.add(id + " ran though it was refused, for " + path);
        }
    }

    /** Checks that nothing that may not be repeated ran twice in one try, or after it. */
    void checkRuns() {
        onceTries.forEach(
                (id, begun) -> {
                    for (int number = 0; number < begun.size(); number++) {
                        long until =
                                number + 1 < begun.size()
                                        ? begun.get(number + 1)
                                        : System.nanoTime();
                        if (runs.count(SoakConfiguration.ONCE, id, begun.get(number), until) > 1) {
                            broken.add(id + " ran more than once in one try");
                        }
                    }
                });
    }
}
