package io.stackhall.tests.harness;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Callers of streams of which upstreams break off a share, and which they take up again at another
 * host: what looks complete must be whole, and no stream may hold events of another caller, of two
 * versions, or out of their order. No configuration denies them.
 */
final class BrokenStreams implements AutoCloseable {

    private static final int OK = 200;
    private static final String PATH = "/breaking/x";

    /** What one has broken off, another of its version goes on with. */
    private static final List<String> SOFTWARE = List.of("v1", "v1", "v2", "v2");

    private final SeededHosts hosts;
    private final ChangeHistory changes;
    private final List<BreakingUpstream> upstreams = new ArrayList<>();
    private final AtomicLong whole = new AtomicLong();
    private final AtomicLong takenUp = new AtomicLong();
    private final AtomicLong wentOn = new AtomicLong();
    private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();

    BrokenStreams(SeededHosts hosts, long seed, RunLog runs, ChangeHistory changes)
            throws IOException {
        this.hosts = hosts;
        this.changes = changes;
        for (int number = 1; number <= SOFTWARE.size(); number++) {
            String software = SOFTWARE.get(number - 1);
            upstreams.add(
                    hosts.startBreaking("i-breaking-" + number, software, seed + number, runs));
        }
    }

    /** Asks a host for one stream, and the next host for the rest if it breaks off. */
    void call(int host, String id) {
        List<String> lines = new ArrayList<>();
        boolean complete = read(host, id, lines);
        long events = lines.stream().filter(String::isEmpty).count();
        if (!complete && events > 0) {
            takenUp.incrementAndGet();
            keepWholeEvents(lines);
            complete =
                    read(
                            1 + host % TroubledHosts.ENTRY_HOSTS,
                            id + BreakingUpstream.AGAIN,
                            lines,
                            "Last-Event-Id",
                            Long.toString(events),
                            "Resumes",
                            id);
            wentOn.addAndGet(complete ? 1 : 0);
        }
        check(id, lines, complete);
    }

    private static void keepWholeEvents(List<String> lines) {
        lines.subList(lines.lastIndexOf("") + 1, lines.size()).clear();
    }

    /** Returns whether an answer came to its end. */
    private boolean read(int host, String id, List<String> lines, String... headers) {
        List<String> received = new ArrayList<>();
        try {
            int status = hosts.stream(host, PATH, id, received::add, headers);
            if (status != OK) {
                received.clear();
            }
            if (changes.isWrongDenial(status, PATH, System.nanoTime())) {
                broken.add(id + " was denied with " + status);
            }
            return status == OK;
        } catch (IOException e) {
            // It says that it is not complete.
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            lines.addAll(received);
        }
    }

    private void check(String id, List<String> lines, boolean complete) {
        String text = lines.isEmpty() ? "" : String.join("\n", lines) + "\n";
        List<String> own = SOFTWARE.stream().map(one -> BreakingUpstream.stream(one, id)).toList();
        if (own.stream().noneMatch(stream -> stream.startsWith(text))) {
            broken.add(id + " holds what is no part of one stream of its own: " + lines);
        }
        if (complete) {
            whole.incrementAndGet();
            if (!own.contains(text)) {
                broken.add(id + " looks complete, with " + text);
            }
        }
    }

    /** Returns what was not as it should be, or that nothing was served. */
    List<String> broken() {
        return whole.get() == 0 ? List.of("no stream came whole") : List.copyOf(broken);
    }

    /** Returns how many streams came whole, were broken off, taken up again and went on. */
    String account() {
        long brokenOff = upstreams.stream().mapToLong(BreakingUpstream::brokenOff).sum();
        return "streams=%d brokenOff=%d takenUp=%d wentOn=%d"
                .formatted(whole.get(), brokenOff, takenUp.get(), wentOn.get());
    }

    @Override
    public void close() {
        upstreams.forEach(BreakingUpstream::close);
    }
}
