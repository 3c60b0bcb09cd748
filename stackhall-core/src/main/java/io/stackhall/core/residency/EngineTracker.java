package io.stackhall.core.residency;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.ModelWeights;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What one engine holds or may come to hold, and the orders to it that are open. */
final class EngineTracker {

    /** An order that is not seen to be done by then is looked into. */
    private static final long OVERDUE_NANOS = Duration.ofSeconds(3).toNanos();

    /** Accounts lag by some hundred milliseconds; one read earlier says nothing new. */
    private static final long REPORT_RETRY_NANOS = Duration.ofMillis(400).toNanos();

    /** An account is older than this at most. */
    private static final long MAX_REPORT_AGE_NANOS = Duration.ofSeconds(1).toNanos();

    /** What an engine held when it was first heard of has been there for longer than any load. */
    private static final long INITIAL_AGE_NANOS = Duration.ofMinutes(1).toNanos();

    /** An unload waits for the runs of its model; by then what was wanted instead may be stale. */
    private static final long MAX_UNLOAD_NANOS = Duration.ofSeconds(5).toNanos();

    /** A lost answer is asked for again by the same order after this. */
    private static final long RESEND_NANOS = Duration.ofMillis(300).toNanos();

    private Instance instance;
    private long ordersTaken = -1;

    /** The order whose answer is awaited or was lost. */
    private EngineOrder unansweredOrder;

    /** The order for a model that has been taken and is not seen to be done. */
    private EngineOrder orderInProgress;

    /** A load that was neither taken nor refused for certain: it may have been carried out. */
    private EngineOrder uncertainLoad;

    private long uncertainSince;

    /** What an unload makes room for; it is loaded as soon as the unload is done. */
    private ModelId nextLoad;

    private long nextLoadSince;
    private final ReportedModels reportedModels = new ReportedModels();
    private long takenAt;
    private long answerLostAt;
    private long minOrdersTaken;
    private boolean reportPending;
    private long nextReportAt;

    /** The newest heartbeat when another instance answered at the address, or -1. */
    private long displacedAt = -1;

    private final Reachability reachability;
    private boolean lost;
    private boolean resting;
    private boolean heartbeatSeen;
    private final Map<ModelId, Long> residentSince = new HashMap<>();
    private final AdapterSlots slots = new AdapterSlots();
    private final AdapterQueue adapterQueue = new AdapterQueue();

    EngineTracker(Instance instance, Duration heartbeat) {
        this.instance = instance;
        this.reachability = new Reachability(heartbeat);
    }

    Instance instance() {
        return instance;
    }

    /** Notes that a host cannot connect to the engine. */
    void recordConnectFailure(HostId host, boolean refused) {
        reachability.recordConnectFailure(host, refused);
    }

    /** Returns whether the engine counts as serving nobody until its next heartbeat. */
    boolean isLost() {
        return lost;
    }

    /** Notes that the engine wants nothing from this host for some time. */
    void recordRest(Duration time, long now) {
        reachability.recordRest(time, now);
        resting = reachability.isResting(now);
    }

    /** Takes in what the engine said last, which may be what it had said before. */
    void onHeartbeat(Instance report, long now) {
        boolean newer = !heartbeatSeen || report.sequence() > instance.sequence();
        instance = report;
        if (newer) {
            applyHeartbeat(report, now);
        }
        completeModelOrder();
        lost = displacedAt >= 0 || reachability.isLost(now);
        resting = reachability.isResting(now);
    }

    private void applyHeartbeat(Instance report, long now) {
        reachability.recordHeartbeat(now);
        displacedAt = -1;
        slots.onHeartbeat(report);
        long firstSeen = heartbeatSeen ? now : now - INITIAL_AGE_NANOS;
        heartbeatSeen = true;
        report.models().forEach(copy -> residentSince.putIfAbsent(copy.model(), firstSeen));
        residentSince.keySet().removeIf(model -> report.copyOf(model).isEmpty());
    }

    /** The heartbeat that shows an order done may come before the answer to the order. */
    private void completeModelOrder() {
        boolean concernsModel = orderInProgress != null && orderInProgress.adapter().isEmpty();
        boolean done =
                concernsModel
                        && instance.copyOf(orderInProgress.model()).isPresent()
                                == orderInProgress.load();
        if (!done) {
            return;
        }
        if (!orderInProgress.load()) {
            reportedModels.remove(orderInProgress.model());
            slots.markUnloaded(orderInProgress.model());
        }
        orderInProgress = null;
    }

    /** Returns the models that it holds by its heartbeat or by its own word. */
    List<ModelCopy> models() {
        List<ModelCopy> models = new ArrayList<>(instance.models());
        models.addAll(modelsMissingFromHeartbeat());
        return models;
    }

    private List<ModelCopy> modelsMissingFromHeartbeat() {
        return reportedModels.missingFrom(instance).stream()
                .filter(copy -> !isLoading(copy.model()))
                .toList();
    }

    /** Takes in the engine's own account; the newest there is of how many orders it has taken. */
    void onReport(EngineReport report, long now) {
        reportPending = false;
        if (report.isOfOtherIncarnation(instance.id())) {
            nextReportAt = now + REPORT_RETRY_NANOS;
            return;
        }
        boolean stale = unansweredOrder == null && report.ordersTaken() < minOrdersTaken;
        if (stale) {
            nextReportAt = now + REPORT_RETRY_NANOS;
            return;
        }
        reportedModels.replace(report.models(), now);
        slots.addReported(report.models());
        if (report.busy() && orderInProgress == null) {
            nextReportAt = now + REPORT_RETRY_NANOS;
            return;
        }
        ordersTaken = report.ordersTaken();
        if (uncertainLoad != null && now - uncertainSince > MAX_REPORT_AGE_NANOS) {
            uncertainLoad = null;
        }
        if (unansweredOrder != null && ordersTaken != unansweredOrder.expectedTaken()) {
            unansweredOrder = null;
        }
        if (orderInProgress != null && !report.busy() && now - takenAt > overdueAfter()) {
            completeOverdue(report);
        }
    }

    /** An adapter that is still in use goes on taking its slot, and the engine no other order. */
    private void completeOverdue(EngineReport report) {
        if (orderInProgress.adapter().isPresent()) {
            boolean held =
                    report.models().stream()
                            .filter(copy -> copy.model().equals(orderInProgress.model()))
                            .anyMatch(
                                    copy ->
                                            copy.adapters()
                                                    .contains(orderInProgress.adapter().get()));
            if (held) {
                return;
            }
            recordAdapter(orderInProgress);
        }
        orderInProgress = null;
    }

    void onReportFailed(long now) {
        reportPending = false;
        nextReportAt = now + REPORT_RETRY_NANOS;
    }

    /** Returns whether the engine's account is needed now, and marks it as being read. */
    boolean startReportRequest(long now) {
        boolean overdue = orderInProgress != null && now - takenAt > overdueAfter();
        overdue |=
                uncertainLoad != null
                        || (!reportedModels.missingFrom(instance).isEmpty()
                                && now - reportedModels.reportedAt() > OVERDUE_NANOS);
        boolean needed = (ordersTaken < 0 || overdue) && !lost && !resting;
        if (reportPending || !needed || now - nextReportAt < 0) {
            return false;
        }
        reportPending = true;
        nextReportAt = now + REPORT_RETRY_NANOS;
        return true;
    }

    /** Returns whether an order may be sent: while a model is loaded, engines refuse any other. */
    boolean isReadyForOrder() {
        return ordersTaken >= 0
                && !lost
                && !resting
                && unansweredOrder == null
                && !reportPending
                && orderInProgress == null
                && uncertainLoad == null;
    }

    /** Returns whether the open order got no answer, so that it is to be sent again. */
    boolean isResendDue(long now) {
        return unansweredOrder != null
                && answerLostAt != 0
                && !resting
                && now - answerLostAt >= RESEND_NANOS;
    }

    EngineOrder unansweredOrder() {
        return unansweredOrder;
    }

    /** Returns whether a model is about to be unloaded, or is being. */
    boolean isUnloadingModel() {
        return isModelUnload(unansweredOrder) || isModelUnload(orderInProgress);
    }

    /** Sets what is loaded once the model that is being unloaded is gone. */
    void loadAfterUnload(ModelId model, long now) {
        nextLoad = model;
        nextLoadSince = now;
    }

    /** Returns what room was made for, once, unless making it has taken too long. */
    Optional<ModelId> pollNextLoad(long now) {
        ModelId model = nextLoad;
        nextLoad = null;
        boolean old = now - nextLoadSince > MAX_UNLOAD_NANOS;
        return old ? Optional.empty() : Optional.ofNullable(model);
    }

    /** Returns the model that is being loaded, or may be, or is loaded next. */
    Optional<ModelId> loadingModel() {
        return outstandingLoad().or(() -> Optional.ofNullable(nextLoad));
    }

    private Optional<ModelId> outstandingLoad() {
        if (isModelLoad(orderInProgress)) {
            return Optional.of(orderInProgress.model());
        }
        return isModelLoad(unansweredOrder)
                ? Optional.of(unansweredOrder.model())
                : Optional.empty();
    }

    long ordersTaken() {
        return ordersTaken;
    }

    void beginOrder(EngineOrder order) {
        unansweredOrder = order;
        answerLostAt = 0;
        if (order.load()) {
            recordAdapter(order);
        }
    }

    void markResent() {
        answerLostAt = 0;
    }

    void onAnswer(EngineAnswer answer, long now) {
        EngineOrder order = unansweredOrder;
        switch (answer) {
            case TAKEN -> {
                ordersTaken = order.expectedTaken() + 1;
                minOrdersTaken = ordersTaken;
                boolean waitsForRunningRequests = !order.load();
                if (order.adapter().isEmpty() || waitsForRunningRequests) {
                    orderInProgress = order;
                    takenAt = now;
                } else {
                    recordAdapter(order);
                }
                unansweredOrder = null;
            }
            case HOLDS -> {
                recordAdapter(order);
                if (isModelLoad(order)) {
                    reportedModels.add(order.model());
                }
                boolean doneAtOnce = !order.load();
                ordersTaken = order.expectedTaken() + (doneAtOnce ? 1 : 0);
                minOrdersTaken = ordersTaken;
                unansweredOrder = null;
            }
            case CONFLICT, REFUSED, OTHER_INSTANCE, FENCED -> {
                if (isModelLoad(order)) {
                    uncertainLoad = order;
                    uncertainSince = now;
                }
                if (answer == EngineAnswer.OTHER_INSTANCE) {
                    displacedAt = instance.sequence();
                    lost = true;
                }
                resynchronize(now, REPORT_RETRY_NANOS);
            }
            case UNKNOWN -> answerLostAt = now;
        }
    }

    AdapterQueue adapterQueue() {
        return adapterQueue;
    }

    long residentSince(ModelId model) {
        return residentSince.getOrDefault(model, 0L);
    }

    /** Returns the adapters that are resident or may be. */
    Set<AdapterKey> adapters() {
        return slots.occupied(instance);
    }

    /** Returns memory that nothing holds and no open order may come to hold, in MB. */
    double freeMb(EngineSpec spec) {
        double used = 0;
        for (ModelCopy copy : instance.models()) {
            used += weightsMb(copy.model(), spec);
        }
        for (AdapterKey key : adapters()) {
            used += spec.model(key.model()).map(ModelWeights::adapterMb).orElse(0.0);
        }
        used +=
                reservedMb(orderInProgress, spec)
                        + reservedMb(unansweredOrder, spec)
                        + reservedMb(uncertainLoad, spec);
        for (ModelCopy copy : modelsMissingFromHeartbeat()) {
            used += weightsMb(copy.model(), spec);
        }
        return spec.weightsMb() - used;
    }

    private void resynchronize(long now, long pause) {
        ordersTaken = -1;
        minOrdersTaken = 0;
        nextReportAt = now + pause;
        unansweredOrder = null;
    }

    private double reservedMb(EngineOrder order, EngineSpec spec) {
        boolean reserves = isModelLoad(order) && instance.copyOf(order.model()).isEmpty();
        return reserves ? weightsMb(order.model(), spec) : 0;
    }

    /** A model that is not configured may take everything. */
    private static double weightsMb(ModelId model, EngineSpec spec) {
        return spec.model(model).map(ModelWeights::weightsMb).orElse(spec.weightsMb());
    }

    private boolean isLoading(ModelId model) {
        return outstandingLoad().filter(model::equals).isPresent()
                || (uncertainLoad != null && uncertainLoad.model().equals(model));
    }

    private static boolean isModelUnload(EngineOrder order) {
        return order != null && !order.load() && order.adapter().isEmpty();
    }

    private static boolean isModelLoad(EngineOrder order) {
        return order != null && order.load() && order.adapter().isEmpty();
    }

    private void recordAdapter(EngineOrder order) {
        if (order.adapter().isEmpty()) {
            return;
        }
        AdapterKey key = new AdapterKey(order.model(), order.adapter().get());
        if (order.load()) {
            slots.markLoaded(key);
        } else {
            slots.markUnloaded(key);
        }
    }

    private long overdueAfter() {
        if (orderInProgress.adapter().isPresent()) {
            return REPORT_RETRY_NANOS;
        }
        return orderInProgress.fromStore() ? 5 * OVERDUE_NANOS : OVERDUE_NANOS;
    }
}
