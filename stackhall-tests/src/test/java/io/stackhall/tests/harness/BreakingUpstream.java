package io.stackhall.tests.harness;

import java.io.IOException;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An upstream whose streams it frames in different ways, and of which it breaks off a share within
 * an event. What another one has begun it finishes whole. Each event names its software and its
 * stream.
 */
final class BreakingUpstream implements AutoCloseable {

    static final String SERVICE = "breaking";

    /** What ends the id of a request that takes up a stream, behind the id of that stream. */
    static final String AGAIN = "-again";

    private static final int EVENTS = 3;

    /** One in so many streams that begin here is broken off. */
    private static final int BROKEN_SHARE = 3;

    private final Heartbeats heartbeats;
    private final AtomicLong brokenOff = new AtomicLong();
    private final String name;
    private final String software;
    private final Random random;
    private final RepeatingServer server;

    BreakingUpstream(String name, String software, long seed, RunLog runs) throws IOException {
        this.name = name;
        this.software = software;
        this.heartbeats = new Heartbeats(SERVICE, software);
        this.random = new Random(seed);
        this.server = new RepeatingServer(seed, runs, this::answer);
    }

    String name() {
        return name;
    }

    /** Returns what it says of itself. */
    String heartbeat() {
        return heartbeats.next(server.port());
    }

    /** Returns how many streams it has broken off. */
    long brokenOff() {
        return brokenOff.get();
    }

    @Override
    public void close() {
        server.close();
    }

    private synchronized RepeatingServer.Answer answer(RepeatingServer.Request request) {
        RepeatingServer.Framing[] framings = RepeatingServer.Framing.values();
        RepeatingServer.Framing framing = framings[random.nextInt(framings.length)];
        String id = request.id().replace(AGAIN, "");
        int event = event(1, software, id).length();
        String body = stream(software, id).substring(request.lastEvent() * event);
        if (request.lastEvent() > 0 || random.nextInt(BROKEN_SHARE) > 0) {
            return new RepeatingServer.Stream(framing, body, false);
        }
        brokenOff.incrementAndGet();
        int within = 1 + random.nextInt(event - 1);
        String part = body.substring(0, random.nextInt(EVENTS) * event + within);
        return new RepeatingServer.Stream(framing, part, random.nextBoolean());
    }

    /** Returns the whole stream that a request asks for, from one version of the software. */
    static String stream(String software, String id) {
        StringBuilder stream = new StringBuilder();
        for (int number = 1; number <= EVENTS; number++) {
            stream.append(event(number, software, id));
        }
        return stream.toString();
    }

    private static String event(int number, String software, String id) {
        return "id: " + number + "\ndata: " + software + " " + id + "\n\n";
    }
}
