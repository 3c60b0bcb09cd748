package io.stackhall.server.clock;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;

/** The clock that counts the time in which the machine was suspended. */
class BootClockTest {

    /** What the system says of the same clock has hundredths of a second. */
    private static final long TOLERANCE_MILLIS = 200;

    @Test
    @EnabledOnOs(OS.LINUX)
    void readsTheClockThatGoesOnWhileTheMachineIsSuspended() throws Exception {
        assertThat(BootClock.countsSuspension()).isTrue();
        String uptime = Files.readString(Path.of("/proc/uptime"));
        String seconds = uptime.substring(0, uptime.indexOf(' '));
        long expected = Math.round(Double.parseDouble(seconds) * 1000);
        long read = TimeUnit.NANOSECONDS.toMillis(BootClock.nanos());
        assertThat(Math.abs(read - expected)).isLessThan(TOLERANCE_MILLIS);
    }

    @Test
    void neverGoesBackOnAnyThread() throws Exception {
        long[] last = {BootClock.nanos()};
        for (int turn = 0; turn < 20; turn++) {
            Thread.ofVirtual()
                    .start(
                            () -> {
                                for (int count = 0; count < 1000; count++) {
                                    long now = BootClock.nanos();
                                    assertThat(now).isGreaterThanOrEqualTo(last[0]);
                                    last[0] = now;
                                }
                            })
                    .join();
        }
        assertThat(BootClock.nanos()).isGreaterThanOrEqualTo(last[0]);
    }
}
