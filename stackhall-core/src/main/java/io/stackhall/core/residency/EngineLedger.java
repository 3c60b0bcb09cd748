package io.stackhall.core.residency;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.ModelWeights;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What one engine holds or may come to hold, and the one order to it that is open. */
final class EngineLedger {

    /** A heartbeat that was on its way while an order was given may still show what was before. */
    private static final long OVERLAY_NANOS = Duration.ofMillis(2500).toNanos();

    /** An order that is not seen to be done by then is looked into. */
    private static final long OVERDUE_NANOS = Duration.ofSeconds(3).toNanos();

    private Instance instance;
    private long ordersTaken = -1;
    private EngineOrder open;
    private boolean taken;
    private long takenAt;
    private long unknownSince;
    private boolean reading;
    private long nextReadAt;
    private final Map<ModelId, Long> since = new HashMap<>();
    private final Map<AdapterKey, Long> placed = new HashMap<>();
    private final Map<AdapterKey, Long> removed = new HashMap<>();
    private final Deque<AdapterKey> wanted = new ArrayDeque<>();

    /** Names an adapter. */
    record AdapterKey(ModelId model, String adapter) {}

    EngineLedger(Instance instance) {
        this.instance = instance;
    }

    Instance instance() {
        return instance;
    }

    void reported(Instance report, long now) {
        instance = report;
        for (ModelCopy copy : report.models()) {
            since.putIfAbsent(copy.model(), now);
        }
        since.keySet().removeIf(model -> report.copyOf(model).isEmpty());
        if (open != null && taken && open.adapter().isEmpty()) {
            boolean held = report.copyOf(open.model()).isPresent();
            if (held == open.load()) {
                close();
            }
        }
    }

    /** Takes in the engine's own account; the newest there is of how many orders it has taken. */
    void read(EngineReport report, long now) {
        reading = false;
        ordersTaken = report.ordersTaken();
        if (open == null || report.busy()) {
            nextReadAt = report.busy() ? now + OVERDUE_NANOS / 10 : nextReadAt;
            return;
        }
        boolean settled = taken ? report.ordersTaken() > open.expectedTaken() : false;
        boolean overtaken = !taken && report.ordersTaken() != open.expectedTaken();
        if (settled || overtaken) {
            close();
        }
    }

    void readFailed(long now) {
        reading = false;
        nextReadAt = now + OVERDUE_NANOS / 6;
    }

    /** Returns whether the engine's account is needed now, and marks it as being read. */
    boolean startReading(long now) {
        boolean overdue =
                open != null && taken && open.adapter().isEmpty() && now - takenAt > overdueAfter();
        boolean needed = ordersTaken < 0 || overdue;
        if (reading || !needed || now - nextReadAt < 0) {
            return false;
        }
        reading = true;
        nextReadAt = now + OVERDUE_NANOS / 6;
        return true;
    }

    boolean ready() {
        return ordersTaken >= 0 && open == null && !reading;
    }

    /** Returns whether the open order got no answer, so that it is to be sent again. */
    boolean resendDue(long now) {
        return open != null && !taken && unknownSince != 0 && now - unknownSince >= 0;
    }

    EngineOrder open() {
        return open;
    }

    long ordersTaken() {
        return ordersTaken;
    }

    void begin(EngineOrder order) {
        open = order;
        taken = false;
        unknownSince = 0;
    }

    void resent() {
        unknownSince = 0;
    }

    void answered(EngineAnswer answer, long now) {
        if (open == null) {
            return;
        }
        switch (answer) {
            case TAKEN -> {
                ordersTaken = open.expectedTaken() + 1;
                taken = true;
                takenAt = now;
                noteAdapter(now);
                if (open.adapter().isPresent()) {
                    close();
                }
            }
            case HOLDS -> {
                noteAdapter(now);
                ordersTaken = -1;
                close();
            }
            case CONFLICT, REFUSED, OTHER_INSTANCE, FENCED -> {
                ordersTaken = -1;
                nextReadAt = now + Duration.ofMillis(250).toNanos();
                close();
            }
            case UNKNOWN -> unknownSince = now + Duration.ofMillis(300).toNanos();
        }
    }

    void want(AdapterKey key) {
        if (!wanted.contains(key)) {
            wanted.addLast(key);
        }
    }

    Optional<AdapterKey> nextWanted() {
        return Optional.ofNullable(wanted.peekFirst());
    }

    void dropWanted() {
        wanted.pollFirst();
    }

    long since(ModelId model) {
        return since.getOrDefault(model, 0L);
    }

    /** Returns the adapters that are resident or may be, those of unloaded models excepted. */
    Set<AdapterKey> adapters(long now) {
        placed.values().removeIf(at -> now - at > OVERLAY_NANOS);
        removed.values().removeIf(at -> now - at > OVERLAY_NANOS);
        Set<AdapterKey> all = new HashSet<>();
        for (ModelCopy copy : instance.models()) {
            copy.adapters().forEach(adapter -> all.add(new AdapterKey(copy.model(), adapter)));
        }
        all.removeAll(removed.keySet());
        placed.keySet().stream()
                .filter(key -> instance.copyOf(key.model()).isPresent())
                .forEach(all::add);
        return all;
    }

    /** Returns memory that nothing holds and no open order may come to hold, in MB. */
    double freeMb(EngineSpec spec, long now) {
        double used = 0;
        for (ModelCopy copy : instance.models()) {
            used += spec.model(copy.model()).map(ModelWeights::weightsMb).orElse(spec.weightsMb());
        }
        for (AdapterKey key : adapters(now)) {
            used += spec.model(key.model()).map(ModelWeights::adapterMb).orElse(0.0);
        }
        boolean modelLoads = open != null && open.load() && open.adapter().isEmpty();
        if (modelLoads && instance.copyOf(open.model()).isEmpty()) {
            used += spec.model(open.model()).map(ModelWeights::weightsMb).orElse(0.0);
        }
        return spec.weightsMb() - used;
    }

    private void noteAdapter(long now) {
        if (open.adapter().isEmpty()) {
            return;
        }
        AdapterKey key = new AdapterKey(open.model(), open.adapter().get());
        if (open.load()) {
            placed.put(key, now);
            removed.remove(key);
        } else {
            removed.put(key, now);
            placed.remove(key);
        }
    }

    private long overdueAfter() {
        return open.load() && open.fromStore() ? 5 * OVERDUE_NANOS : OVERDUE_NANOS;
    }

    private void close() {
        open = null;
        taken = false;
        unknownSince = 0;
    }
}
