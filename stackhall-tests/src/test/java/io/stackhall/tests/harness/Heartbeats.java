package io.stackhall.tests.harness;

import java.util.concurrent.atomic.AtomicLong;

/** What an upstream of a test says of itself, each time under a higher number. */
final class Heartbeats {

    private final String service;
    private final String software;
    private final AtomicLong sequence = new AtomicLong();

    Heartbeats(String service) {
        this(service, "v1");
    }

    /** Creates those of an upstream with a version of its software. */
    Heartbeats(String service, String software) {
        this.service = service;
        this.software = software;
    }

    /** Returns the next one of an upstream that does not tell when it started. */
    String next(int port) {
        return text(port, "");
    }

    /**
     * Returns the next one of a life of an upstream.
     *
     * @param born when it started, in Unix milliseconds
     */
    String next(int port, long born) {
        return text(port, "\"born\": " + born + ", ");
    }

    /** Begins to count anew, as a next life does. */
    void restart() {
        sequence.set(0);
    }

    private String text(int port, String born) {
        return """
               {"service": "%s", "address": "127.0.0.1:%d", "zone": "z", "slots": 8,
                "version": "%s", %s
                "state": "ready", "cold-remaining-ms": 0, "sequence": %d}
               """
                .formatted(service, port, software, born, sequence.incrementAndGet());
    }
}
