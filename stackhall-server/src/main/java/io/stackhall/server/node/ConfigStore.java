package io.stackhall.server.node;

import io.stackhall.core.config.Configuration;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.json.Json;
import io.stackhall.server.storage.DataFolder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The active configuration of this host. A configuration is activated as a whole, and its revision
 * never decreases. On a host with a disk it is saved, and loaded again after a restart.
 *
 * <p>Configurations are saved and activated on a separate thread. Of several that are offered in
 * the meantime, only the newest is activated.
 */
public final class ConfigStore implements AutoCloseable {

    private static final Logger logger = LogManager.getLogger(ConfigStore.class);

    private static final String FILE = "configuration.json";

    private final Optional<Path> file;
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private final AtomicReference<Offer> newestOffer = new AtomicReference<>();
    private final ExecutorService executor =
            Executors.newSingleThreadExecutor(task -> new Thread(task, "configuration"));
    private volatile ActiveConfiguration active =
            new ActiveConfiguration(Configuration.initial(), BootClock.nanos(), 0);

    /**
     * Opens the store.
     *
     * @param dataFolder where the configuration is saved, on a host with a disk
     * @throws UncheckedIOException if the saved configuration cannot be read
     */
    public ConfigStore(Optional<DataFolder> dataFolder) {
        this.file = dataFolder.map(folder -> folder.resolve(FILE));
        file.filter(Files::exists).ifPresent(this::load);
    }

    /**
     * The active configuration and its activation times.
     *
     * @param configuration the configuration
     * @param acceptedAt when it was accepted, on this host's monotonic clock in nanoseconds; for a
     *     configuration loaded from disk, when it was loaded
     * @param activationMillis time from its acceptance to its activation here, in milliseconds
     */
    public record ActiveConfiguration(
            Configuration configuration, long acceptedAt, long activationMillis) {
        /** Returns the time since it was accepted, in milliseconds. */
        public long ageMillis() {
            return TimeUnit.NANOSECONDS.toMillis(BootClock.nanos() - acceptedAt);
        }
    }

    /** Returns the active configuration. */
    public Configuration current() {
        return active.configuration();
    }

    /** Returns the active configuration with its activation times. */
    public ActiveConfiguration active() {
        return active;
    }

    /**
     * Adds a listener. It is called at once with the active configuration, and later on the store's
     * thread with each new one.
     */
    public void addListener(Consumer<Configuration> listener) {
        listeners.add(listener);
        listener.accept(current());
    }

    /** A configuration that may be activated, and when it was accepted. */
    private record Offer(Configuration configuration, long acceptedAt) {
        private static Offer newer(Offer left, Offer right) {
            if (left == null) {
                return right;
            }
            boolean rightNewer = right.configuration().revision() > left.configuration().revision();
            return rightNewer ? right : left;
        }
    }

    /**
     * Offers a committed configuration, which is activated asynchronously if it is the newest.
     *
     * @param ageMillis time since it was accepted, in milliseconds
     */
    public void offer(Configuration configuration, long ageMillis) {
        if (configuration.revision() <= current().revision() || executor.isShutdown()) {
            return;
        }
        long acceptedAt = BootClock.nanos() - TimeUnit.MILLISECONDS.toNanos(ageMillis);
        newestOffer.accumulateAndGet(new Offer(configuration, acceptedAt), Offer::newer);
        executor.execute(this::activateNewest);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void activateNewest() {
        Offer offer = newestOffer.get();
        Configuration next = offer.configuration();
        if (next.revision() <= current().revision()) {
            return;
        }
        file.ifPresent(path -> save(path, next));
        long millis = TimeUnit.NANOSECONDS.toMillis(BootClock.nanos() - offer.acceptedAt());
        active = new ActiveConfiguration(next, offer.acceptedAt(), millis);
        logger.info("config.in-force revision={} afterMillis={}", next.revision(), millis);
        listeners.forEach(listener -> listener.accept(next));
    }

    private void load(Path path) {
        try {
            Configuration saved = Json.read(Configuration.class, Files.readAllBytes(path));
            active = new ActiveConfiguration(saved, BootClock.nanos(), 0);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read " + path, e);
        }
    }

    private static void save(Path path, Configuration next) {
        try {
            DataFolder.replace(path, Json.write(Configuration.class, next));
        } catch (IOException e) {
            logger.error("config.save-failed file={} {}", path, e.toString());
        }
    }
}
