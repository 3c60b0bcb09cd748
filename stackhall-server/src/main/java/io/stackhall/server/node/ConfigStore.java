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
 * The configuration in force on this host. It comes into force whole, and never goes back a
 * revision; on a host with a disk it is there again after a restart.
 *
 * <p>It is saved and put into force on a thread of its own. Of several that come meanwhile only the
 * newest is.
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
     * @param folder where the configuration lasts, on a host with a disk
     * @throws UncheckedIOException if what lasts cannot be read
     */
    public ConfigStore(Optional<DataFolder> folder) {
        this.file = folder.map(open -> open.resolve(FILE));
        file.filter(Files::exists).ifPresent(this::load);
    }

    /**
     * A configuration, and how it came into force.
     *
     * @param configuration what is in force
     * @param acceptedAt when it was accepted, as far as is known, on this host's monotonic clock
     * @param millisToForce from its acceptance to its being in force here
     */
    public record ActiveConfiguration(
            Configuration configuration, long acceptedAt, long activationMillis) {
        /** Returns the milliseconds since it was accepted. */
        public long ageMillis() {
            return TimeUnit.NANOSECONDS.toMillis(BootClock.nanos() - acceptedAt);
        }
    }

    /** Returns what is in force. */
    public Configuration current() {
        return active.configuration();
    }

    /** Returns what is in force and since when. */
    public ActiveConfiguration active() {
        return active;
    }

    /** Has a listener called with what is in force now, and with each later configuration. */
    public void addListener(Consumer<Configuration> listener) {
        listeners.add(listener);
        listener.accept(current());
    }

    /** A configuration that may come into force, and when it was accepted. */
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
     * Takes a committed configuration; if it is the newest it soon comes into force.
     *
     * @param ageMillis since it was accepted
     */
    public void offer(Configuration next, long ageMillis) {
        if (next.revision() <= current().revision() || executor.isShutdown()) {
            return;
        }
        long acceptedAt = BootClock.nanos() - TimeUnit.MILLISECONDS.toNanos(ageMillis);
        newestOffer.accumulateAndGet(new Offer(next, acceptedAt), Offer::newer);
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
