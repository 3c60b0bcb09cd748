package io.stackhall.tests.harness;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** What upstreams have answered to which requests, and when. */
final class RunLog {

    /** The header line of an answer whose request has not run. */
    static final String NOT_RUN = "X-Not-Run: 1";

    private static final String PREFIX = "run ";

    private final AtomicLong numbers = new AtomicLong();
    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();

    /** One answer of an upstream, with the moment at which its request was read. */
    private record Run(String body, int status, boolean ran, long at) {}

    /** Records that a request has come, and returns the body of its answer. */
    String add(String path, String id, int status, boolean ran) {
        String body = PREFIX + numbers.incrementAndGet() + " " + path;
        runs.computeIfAbsent(key(path, id), key -> new CopyOnWriteArrayList<>())
                .add(new Run(body, status, ran, System.nanoTime()));
        return body;
    }

    /** Returns how often a request has run between two moments. */
    long count(String path, String id, long since, long until) {
        return runs(path, id).stream()
                .filter(run -> run.ran() && run.at() - since >= 0 && run.at() - until < 0)
                .count();
    }

    /** Returns how many answers of runs, refusals included, there were. */
    long size() {
        return numbers.get();
    }

    /** Returns whether an answer is one that was given to a request since a moment. */
    boolean holds(String path, String id, long since, int status, String body) {
        return runs(path, id).stream()
                .anyMatch(
                        run ->
                                run.body().equals(body)
                                        && run.status() == status
                                        && run.at() - since >= 0);
    }

    /** Returns whether a body is an upstream's. */
    static boolean isOfUpstream(String body) {
        return body.startsWith(PREFIX);
    }

    private List<Run> runs(String path, String id) {
        return runs.getOrDefault(key(path, id), List.of());
    }

    private static String key(String path, String id) {
        return path + " " + id;
    }
}
