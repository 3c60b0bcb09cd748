package io.stackhall.server.training;

import io.stackhall.server.fleet.FleetDaemon;
import io.stackhall.server.gateway.EntryDaemon;
import io.stackhall.server.settings.FleetSettings;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * An entry process that warms up from its start until its first caller connects. If other hosts
 * serve already, the first configuration ends it too, since callers follow soon.
 */
public final class WarmingEntryDaemon implements FleetDaemon {

    private static final Logger logger = LogManager.getLogger(WarmingEntryDaemon.class);

    private final EntryDaemon entry;
    private final boolean firstStart;
    private final Supplier<WarmUp> creation;

    /** Released at the end, so that the memory of the warm-up is not retained. */
    private final AtomicReference<WarmUp> running = new AtomicReference<>();

    /**
     * Creates a process that has not started, with a warm-up to be created at its start.
     *
     * @param firstStart whether the whole system starts for the first time
     */
    WarmingEntryDaemon(EntryDaemon entry, boolean firstStart, Supplier<WarmUp> creation) {
        this.entry = entry;
        this.firstStart = firstStart;
        this.creation = creation;
    }

    /** Returns the process with a warm-up, or as it is where its share is large enough. */
    public static FleetDaemon around(EntryDaemon entry, FleetSettings settings) {
        double share = settings.limits().processorShare();
        return settings.limits().hasSmallProcessorShare()
                ? new WarmingEntryDaemon(entry, settings.firstStart(), () -> new WarmUp(share))
                : entry;
    }

    @Override
    public void start() {
        guarded(() -> running.set(creation.get()));
        entry.onCaller(this::end);
        if (!firstStart) {
            entry.onConfiguration(this::end);
        }
        entry.start();
        WarmUp warmUp = running.get();
        if (warmUp != null) {
            guarded(warmUp::start);
        }
    }

    @Override
    public void reload(FleetSettings settings) {
        entry.reload(settings);
    }

    @Override
    public void drain() {
        end();
        entry.drain();
    }

    @Override
    public void close() {
        end();
        entry.close();
    }

    private void end() {
        WarmUp warmUp = running.getAndSet(null);
        if (warmUp != null) {
            guarded(warmUp::end);
        }
    }

    /** Keeps a failure, for example to create a thread, from the host. */
    private static void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            logger.warn("warm-up.failed cause={}", e.toString());
        }
    }
}
