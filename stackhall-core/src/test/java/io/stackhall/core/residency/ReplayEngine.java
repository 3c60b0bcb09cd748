package io.stackhall.core.residency;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** A simulated engine: the models it serves, its local weights, and its current load. */
final class ReplayEngine {

    private static final int ZONES = 3;
    private static final int IN_MEMORY = 2;
    private static final int ON_DISK = 6;
    private static final double MAX_PERMITS = 2;
    static final long FROM_MEMORY = 800;
    static final long FROM_DISK = 1_700;
    static final long STEP = 10;

    final UpstreamId id;
    final ZoneId zone;
    final Map<ModelId, Long> held = new LinkedHashMap<>();
    final Deque<ModelId> memory = new ArrayDeque<>();
    final Deque<ModelId> disk = new ArrayDeque<>();
    Optional<ModelId> loading = Optional.empty();
    boolean fromStore;
    long orderEnds;
    final Deque<ModelId> nextLoads = new ArrayDeque<>();
    long promptsReadAt;
    double perSecond = Double.POSITIVE_INFINITY;
    double permits = Double.POSITIVE_INFINITY;

    ReplayEngine(int number) {
        id = new UpstreamId("e" + number);
        zone = new ZoneId("z" + number % ZONES);
    }

    void limit(double most) {
        perSecond = most;
        permits = 0;
    }

    void refillPermits() {
        if (limited()) {
            permits = Math.min(MAX_PERMITS, permits + perSecond * STEP / 1000);
        }
    }

    boolean limited() {
        return perSecond < Double.POSITIVE_INFINITY;
    }

    Optional<Long> localLoadMillis(ModelId model) {
        if (memory.contains(model)) {
            return Optional.of(FROM_MEMORY);
        }
        return disk.contains(model) ? Optional.of(FROM_DISK) : Optional.empty();
    }

    void cacheWeights(ModelId model) {
        moveToFront(memory, model, IN_MEMORY);
        moveToFront(disk, model, ON_DISK);
    }

    private static void moveToFront(Deque<ModelId> kept, ModelId model, int most) {
        kept.remove(model);
        kept.addFirst(model);
        while (kept.size() > most) {
            kept.removeLast();
        }
    }
}
