package io.stackhall.tests.harness;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Waits for a condition, as long as it may reasonably take. */
public final class Eventually {

    /** How long a condition may take on a busy machine. */
    public static final Duration PATIENCE = Duration.ofSeconds(40);

    private static final long POLL_MILLIS = 20;

    private Eventually() {}

    /** Waits until a condition holds; what it throws counts as not yet. */
    public static void holds(String what, Callable<Boolean> condition) {
        Exception last = null;
        long deadline = System.nanoTime() + PATIENCE.toNanos();
        while (System.nanoTime() - deadline < 0) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (Exception e) {
                last = e;
            }
            pause(POLL_MILLIS);
        }
        throw new AssertionError("not within " + PATIENCE + ": " + what, last);
    }

    /** Lets time pass where the passing itself is what is tested. */
    public static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
