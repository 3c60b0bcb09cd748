package io.stackhall.server.clock;

import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import java.util.concurrent.TimeUnit;

/**
 * Measures time by a clock that no step of the time of day moves, and that goes on while the
 * machine is suspended.
 *
 * <p>The Java runtime's own steady clock stands still meanwhile: a leader that wakes would take its
 * lease for valid that others have let run out, and a request for younger than it is.
 */
public final class BootClock {

    /** The clock's number on Linux. */
    private static final int CLOCK_BOOTTIME = 7;

    private static final int SECONDS = 0;
    private static final int NANOS = 1;

    /** The call takes some ten nanoseconds and may write into the heap. */
    private static final Linker.Option SHORT_CALL = Linker.Option.critical(true);

    private static final MethodHandle CLOCK = clock();

    private BootClock() {}

    /** Returns the time in nanoseconds since some moment before this process started. */
    public static long nanos() {
        if (CLOCK == null) {
            return System.nanoTime();
        }
        long[] time = new long[2];
        if (read(MemorySegment.ofArray(time)) != 0) {
            throw new IllegalStateException("clock " + CLOCK_BOOTTIME + " cannot be read");
        }
        return TimeUnit.SECONDS.toNanos(time[SECONDS]) + time[NANOS];
    }

    /** Returns whether the clock goes on while the machine is suspended. */
    public static boolean countsSuspension() {
        return CLOCK != null;
    }

    private static int read(MemorySegment time) {
        try {
            return (int) CLOCK.invokeExact(CLOCK_BOOTTIME, time);
        } catch (Throwable e) {
            throw new IllegalStateException("clock " + CLOCK_BOOTTIME + " cannot be read", e);
        }
    }

    /** Returns the system's call, or null where it has none or not this clock. */
    private static MethodHandle clock() {
        Linker linker = Linker.nativeLinker();
        FunctionDescriptor form =
                FunctionDescriptor.of(
                        ValueLayout.JAVA_INT, ValueLayout.JAVA_INT, ValueLayout.ADDRESS);
        MethodHandle call =
                linker.defaultLookup()
                        .find("clock_gettime")
                        .map(address -> linker.downcallHandle(address, form, SHORT_CALL))
                        .orElse(null);
        return call != null && System.getProperty("os.name").equals("Linux") ? call : null;
    }
}
