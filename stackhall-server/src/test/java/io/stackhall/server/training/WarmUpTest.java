package io.stackhall.server.training;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.LocalFleet;
import io.stackhall.server.gateway.EntryDaemon;
import io.stackhall.server.settings.Address;
import io.stackhall.server.settings.FleetSettings;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The warm-up of an entry host, how it ends and what it leaves behind. */
class WarmUpTest {

    private static final Duration PATIENCE = Duration.ofSeconds(20);
    private static final double SHARE = 0.36;
    private static final String ROUTES =
            """
            {"version":1,"routes":[],"services":[]}
            """;

    @TempDir private Path folder;

    @Test
    void endsAtItsBoundAndLeavesNoSocketOrThread() throws Exception {
        assumeTrue(Files.exists(Path.of("/proc/self/fd")));
        Set<String> before = sockets();
        AtomicInteger calls = new AtomicInteger();
        WarmUp warmUp =
                new WarmUp(
                        SHARE,
                        () ->
                                calls.getAndIncrement() < 10
                                        ? Duration.ZERO
                                        : WarmUpBudget.limit(SHARE));
        warmUp.start();
        assertThat(warmUp.awaitEnd(PATIENCE)).isTrue();
        assertThat(warmUp.failure()).isEmpty();
        assertThat(warmUp.requests()).isEqualTo(27);
        LocalFleet.await("thread ended", () -> !running());
        LocalFleet.await("sockets closed", () -> before.containsAll(sockets()));
    }

    /** A host that goes on with its warm-up reads its first configuration late. */
    @Test
    void endsAtOnceWhenTold() throws Exception {
        WarmUp warmUp = new WarmUp(SHARE, () -> Duration.ZERO);
        warmUp.start();
        Thread.sleep(1000);
        long told = BootClock.nanos();
        warmUp.end();
        assertThat(warmUp.awaitEnd(PATIENCE)).isTrue();
        assertThat(Duration.ofNanos(BootClock.nanos() - told)).isLessThan(Duration.ofMillis(500));
        assertThat(warmUp.requests()).isPositive();
        assertThat(warmUp.failure()).isEmpty();
    }

    /** A warm-up that goes on beside its callers takes the processor time that they need. */
    @Test
    void endsWhenTheFirstCallerConnects() throws Exception {
        try (LocalFleet fleet = new LocalFleet(folder)) {
            startWarming(fleet, true);
            fleet.foundControl();
            LocalFleet.await("routes taken", () -> fleet.put(ROUTES) == 200);
            LocalFleet.await("ready", () -> fleet.ready(1));
            assertThat(running()).isTrue();
            try (Socket caller = fleet.callerOf(1)) {
                LocalFleet.await("warm-up ended", () -> !running());
            }
        }
    }

    /** A host that starts again gets callers as soon as it is ready. */
    @Test
    void endsWhenTheFirstConfigurationArrivesAtALaterStart() throws Exception {
        try (LocalFleet fleet = new LocalFleet(folder)) {
            startWarming(fleet, false);
            fleet.foundControl();
            LocalFleet.await("routes taken", () -> fleet.put(ROUTES) == 200);
            LocalFleet.await("warm-up ended", () -> !running());
            LocalFleet.await("ready", () -> fleet.ready(1));
        }
    }

    private static void startWarming(LocalFleet fleet, boolean firstStart) throws Exception {
        fleet.start(
                new WarmingEntryDaemon(
                        fleet.createEntry(1),
                        firstStart,
                        () -> new WarmUp(SHARE, () -> Duration.ZERO)));
        LocalFleet.await("warm-up started", WarmUpTest::running);
    }

    @Test
    void failureWhileItRunsEndsItAndNotTheHost() throws Exception {
        WarmUp warmUp =
                new WarmUp(
                        SHARE,
                        () -> {
                            throw new IllegalStateException("no processor time");
                        });
        hostServesBeside(warmUp);
        assertThat(warmUp.awaitEnd(PATIENCE)).isTrue();
        assertThat(warmUp.failure()).isPresent();
    }

    @Test
    void failureToCreateItDoesNotTouchTheHost() throws Exception {
        hostServesBeside(null);
    }

    @Test
    void hostWithALargeShareRunsNone() throws Exception {
        try (LocalFleet fleet = new LocalFleet(folder)) {
            EntryDaemon entry = fleet.createEntry(1);
            assertThat(WarmingEntryDaemon.around(entry, settings(0.5))).isSameAs(entry);
            assertThat(WarmingEntryDaemon.around(entry, settings(0.49)))
                    .isInstanceOf(WarmingEntryDaemon.class);
        }
    }

    /** Starts a host whose warm-up fails; none stands for one that cannot be created. */
    private void hostServesBeside(WarmUp warmUp) throws Exception {
        try (LocalFleet fleet = new LocalFleet(folder)) {
            fleet.foundControl();
            fleet.start(
                    new WarmingEntryDaemon(
                            fleet.createEntry(1),
                            true,
                            () ->
                                    Optional.ofNullable(warmUp)
                                            .orElseThrow(
                                                    () -> new IllegalStateException("no file"))));
            LocalFleet.await("routes taken", () -> fleet.put(ROUTES) == 200);
            LocalFleet.await("ready", () -> fleet.ready(1));
        }
    }

    private static FleetSettings settings(double processorShare) {
        Address unused = new Address("127.0.0.1", 1);
        return new FleetSettings(
                new HostId("entry-1"),
                new ZoneId("plateau"),
                new FleetSettings.Entry(unused, unused),
                unused,
                List.of(),
                true,
                limits(processorShare),
                Optional.empty());
    }

    private static FleetSettings.Limits limits(double processorShare) {
        return new FleetSettings.Limits(
                Duration.ofSeconds(1),
                Duration.ofSeconds(6),
                Duration.ZERO,
                true,
                0,
                0,
                Duration.ofSeconds(10),
                Duration.ofSeconds(5),
                0,
                Optional.empty(),
                Duration.ofSeconds(2),
                null,
                processorShare);
    }

    private static boolean running() {
        return Thread.getAllStackTraces().keySet().stream()
                .anyMatch(thread -> thread.getName().equals(WarmUp.THREAD_NAME));
    }

    private static Set<String> sockets() {
        Set<String> found = new HashSet<>();
        try (Stream<Path> descriptors = Files.list(Path.of("/proc/self/fd"))) {
            for (Path descriptor : descriptors.toList()) {
                String target = target(descriptor);
                if (target.startsWith("socket:")) {
                    found.add(target);
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException("descriptors cannot be listed", e);
        }
        return found;
    }

    private static String target(Path descriptor) {
        try {
            return Files.readSymbolicLink(descriptor).toString();
        } catch (IOException e) {
            return "";
        }
    }
}
