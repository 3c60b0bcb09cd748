package io.stackhall.tests.harness;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Callers of streams of which upstreams break off a share: what looks complete must be whole. */
final class BrokenStreams implements AutoCloseable {

    private static final int OK = 200;

    /** What one has broken off, the other one goes on with. */
    private static final int UPSTREAMS = 2;

    private final SeededHosts hosts;
    private final List<BreakingUpstream> upstreams = new ArrayList<>();
    private final AtomicLong whole = new AtomicLong();
    private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();

    BrokenStreams(SeededHosts hosts, long seed) throws IOException {
        this.hosts = hosts;
        for (int number = 1; number <= UPSTREAMS; number++) {
            upstreams.add(hosts.startBreaking("i-breaking-" + number, seed + number));
        }
    }

    /** Asks a host for one stream. */
    void call(int host, String id) {
        try {
            HttpResponse<String> answer = hosts.callRoute(host, "/breaking/x", id);
            if (answer.statusCode() != OK) {
                return;
            }
            whole.incrementAndGet();
            if (!answer.body().equals(BreakingUpstream.STREAM)) {
                broken.add(id + " looks complete, with " + answer.body());
            }
        } catch (IOException e) {
            // It says that it is not complete.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns what looked complete and was not, or that nothing was served. */
    List<String> broken() {
        return whole.get() == 0 ? List.of("no stream came whole") : List.copyOf(broken);
    }

    /** Returns how many streams came whole, and how many were broken off. */
    String account() {
        long brokenOff = upstreams.stream().mapToLong(BreakingUpstream::brokenOff).sum();
        return "streams=%d brokenOff=%d".formatted(whole.get(), brokenOff);
    }

    @Override
    public void close() {
        upstreams.forEach(BreakingUpstream::close);
    }
}
