package io.stackhall.server.cli;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Turns the signal to stop (SIGTERM or SIGINT) into an orderly end: whoever awaits it is woken, and
 * the process exits with the code that is reported then.
 */
final class StopSignal {

    private final CountDownLatch asked = new CountDownLatch(1);
    private final CountDownLatch finished = new CountDownLatch(1);
    private volatile ExitCode code = ExitCode.FAILED;

    private StopSignal() {}

    /** Listens for the signal from now on. */
    static StopSignal install() {
        StopSignal signal = new StopSignal();
        Runtime.getRuntime().addShutdownHook(new Thread(signal::stopped, "stop-signal"));
        return signal;
    }

    /** Waits until the process is asked to stop. */
    void await() throws InterruptedException {
        asked.await();
    }

    /** Waits for a time, and returns whether the process was asked to stop within it. */
    boolean await(Duration time) throws InterruptedException {
        return asked.await(time.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Reports that everything has ended. */
    ExitCode finish(ExitCode exitCode) {
        code = exitCode;
        finished.countDown();
        return exitCode;
    }

    private void stopped() {
        asked.countDown();
        try {
            finished.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(code.code());
    }
}
