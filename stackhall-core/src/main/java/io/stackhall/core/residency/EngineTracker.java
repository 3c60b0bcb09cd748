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

/** Tracks what one engine holds or may come to hold, and its outstanding order. */
final class EngineTracker {

    /** An order without visible effect by then is checked with a status report. */
    private static final long OVERDUE_NANOS = Duration.ofSeconds(3).toNanos();

    /** Status reports lag by some hundred ms; one requested earlier shows nothing new. */
    private static final long REPORT_RETRY_NANOS = Duration.ofMillis(400).toNanos();

    /** The maximum age of a status report. */
    private static final long MAX_REPORT_AGE_NANOS = Duration.ofSeconds(1).toNanos();

    /** Dates back the models of the first heartbeat by more than any load takes. */
    private static final long INITIAL_AGE_NANOS = Duration.ofMinutes(1).toNanos();

    /** An order whose answer was lost is sent again after this time. */
    private static final long RESEND_NANOS = Duration.ofMillis(300).toNanos();

    /** An answer that is not used by then counts as lost; calls end within 900 ms. */
    private static final long ANSWER_NANOS = Duration.ofSeconds(2).toNanos();

    private Instance instance;
    private long ordersTaken = -1;

    /** The order whose answer is pending or was lost. */
    private EngineOrder unansweredOrder;

    /** The accepted order whose completion has not been observed yet. */
    private EngineOrder inProgress;

    /** A load that may have been carried out although the engine did not confirm it. */
    private EngineOrder uncertain;

    private long uncertainSince;
    private final PendingLoad pendingLoad = new PendingLoad();
    private final ReportedModels reportedModels = new ReportedModels();
    private long takenAt;
    private long answerLostAt;
    private boolean resent;
    private long minOrdersTaken;
    private boolean reportPending;
    private long nextReportAt;

    /** Heartbeat sequence when another instance answered at the address, or -1. */
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

    /**
     * Records that a host cannot connect to the engine.
     *
     * @param refused whether the connection was refused, rather than timed out
     */
    void recordConnectFailure(HostId host, boolean refused) {
        reachability.recordConnectFailure(host, refused);
    }

    /** Returns whether the engine is considered lost until its next heartbeat. */
    boolean isLost() {
        return lost;
    }

    /** Records that the engine has asked this host to send nothing for some time. */
    void recordRest(Duration time, long now) {
        reachability.recordRest(time, now);
        resting = reachability.isResting(now);
    }

    /** Updates the state from the latest heartbeat, which may be the same one as before. */
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

    /** Completes a model order whose effect a heartbeat shows, maybe before its answer arrives. */
    private void completeModelOrder() {
        boolean concernsModel = inProgress != null && inProgress.adapter().isEmpty();
        boolean done =
                concernsModel
                        && instance.copyOf(inProgress.model()).isPresent() == inProgress.load();
        if (!done) {
            return;
        }
        if (!inProgress.load()) {
            reportedModels.remove(inProgress.model());
            slots.markUnloaded(inProgress.model());
        }
        inProgress = null;
    }

    /** Returns the models that the engine holds according to its heartbeat or its status report. */
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

    /** Updates the state from a status report, the latest source of the order count. */
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
        if (report.busy() && inProgress == null) {
            nextReportAt = now + REPORT_RETRY_NANOS;
            return;
        }
        ordersTaken = report.ordersTaken();
        if (uncertain != null && now - uncertainSince > MAX_REPORT_AGE_NANOS) {
            uncertain = null;
        }
        if (unansweredOrder != null && ordersTaken != unansweredOrder.expectedTaken()) {
            unansweredOrder = null;
        }
        if (inProgress != null && !report.busy() && now - takenAt > overdueAfter()) {
            completeOverdue(report, now);
        }
    }

    /** An adapter still in use keeps its slot, and blocks other orders until it is unloaded. */
    private void completeOverdue(EngineReport report, long now) {
        if (inProgress.adapter().isPresent()) {
            boolean held =
                    report.models().stream()
                            .filter(copy -> copy.model().equals(inProgress.model()))
                            .anyMatch(copy -> copy.adapters().contains(inProgress.adapter().get()));
            if (held) {
                return;
            }
            slots.applyOrder(inProgress, now);
        }
        inProgress = null;
    }

    void onReportFailed(long now) {
        reportPending = false;
        nextReportAt = now + REPORT_RETRY_NANOS;
    }

    /** Returns whether a status report is needed now, and if so marks it as requested. */
    boolean startReportRequest(long now) {
        boolean overdue = inProgress != null && now - takenAt > overdueAfter();
        overdue |=
                uncertain != null
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

    /** Returns whether an order may be sent; engines refuse orders while they load a model. */
    boolean isReadyForOrder() {
        return ordersTaken >= 0
                && !lost
                && !resting
                && unansweredOrder == null
                && !reportPending
                && inProgress == null
                && uncertain == null;
    }

    /** Returns whether the outstanding order got no answer and is due to be sent again. */
    boolean isResendDue(long now) {
        return unansweredOrder != null && !resting && now - answerLostAt >= RESEND_NANOS;
    }

    EngineOrder unansweredOrder() {
        return unansweredOrder;
    }

    /** Returns whether the unload of a model is outstanding or in progress. */
    boolean isUnloadingModel() {
        return isModelUnload(unansweredOrder) || isModelUnload(inProgress);
    }

    /** Sets the model to load once the current unload has completed. */
    void loadAfterUnload(ModelId model, long now) {
        pendingLoad.set(model, now);
    }

    /** Returns and clears the model to load after an unload; empty if the unload took too long. */
    Optional<ModelId> pollNextLoad(long now) {
        return pendingLoad.poll(now);
    }

    /** Returns the model that is or may be loading, or that is loaded next. */
    Optional<ModelId> loadingModel() {
        return outstandingLoad().or(pendingLoad::model);
    }

    private Optional<ModelId> outstandingLoad() {
        if (isModelLoad(inProgress)) {
            return Optional.of(inProgress.model());
        }
        return isModelLoad(unansweredOrder)
                ? Optional.of(unansweredOrder.model())
                : Optional.empty();
    }

    long ordersTaken() {
        return ordersTaken;
    }

    void beginOrder(EngineOrder order, long now) {
        unansweredOrder = order;
        answerLostAt = now + ANSWER_NANOS;
        resent = false;
        if (order.load()) {
            slots.applyOrder(order, now);
        }
    }

    void markResent(long now) {
        answerLostAt = now + ANSWER_NANOS;
        resent = true;
    }

    void onAnswer(EngineAnswer answer, long now) {
        EngineOrder order = unansweredOrder;
        switch (answer) {
            case TAKEN -> {
                ordersTaken = order.expectedTaken() + 1;
                minOrdersTaken = ordersTaken;
                boolean waitsForRunningRequests = !order.load();
                if (order.adapter().isEmpty() || waitsForRunningRequests) {
                    inProgress = order;
                    takenAt = now;
                } else {
                    slots.applyOrder(order, now);
                }
                unansweredOrder = null;
            }
            case HOLDS -> {
                slots.applyOrder(order, now);
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
                    uncertain = order;
                    uncertainSince = now;
                } else if (order.load() && !resent) { // No earlier copy was carried out.
                    slots.markRefused(order);
                }
                if (answer == EngineAnswer.OTHER_INSTANCE) {
                    displacedAt = instance.sequence();
                    lost = true;
                }
                resynchronize(now);
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

    /** Returns the adapters that are, or may be, resident. */
    Set<AdapterKey> adapters() {
        return slots.occupied(instance);
    }

    /** Returns the state of the adapter slots. */
    AdapterSlots slots() {
        return slots;
    }

    /** Returns the memory in MB neither occupied nor reserved for orders that may take effect. */
    double freeMb(EngineSpec spec) {
        double used = 0;
        for (ModelCopy copy : instance.models()) {
            used += weightsMb(copy.model(), spec);
        }
        for (AdapterKey key : adapters()) {
            used += spec.model(key.model()).map(ModelWeights::adapterMb).orElse(0.0);
        }
        used +=
                reservedMb(inProgress, spec)
                        + reservedMb(unansweredOrder, spec)
                        + reservedMb(uncertain, spec);
        for (ModelCopy copy : modelsMissingFromHeartbeat()) {
            used += weightsMb(copy.model(), spec);
        }
        return spec.weightsMb() - used;
    }

    private void resynchronize(long now) {
        ordersTaken = -1;
        minOrdersTaken = 0;
        nextReportAt = now + REPORT_RETRY_NANOS;
        unansweredOrder = null;
    }

    private double reservedMb(EngineOrder order, EngineSpec spec) {
        boolean reserves = isModelLoad(order) && instance.copyOf(order.model()).isEmpty();
        return reserves ? weightsMb(order.model(), spec) : 0;
    }

    /** Returns the size in MB; an unconfigured model may occupy all memory. */
    private static double weightsMb(ModelId model, EngineSpec spec) {
        return spec.model(model).map(ModelWeights::weightsMb).orElse(spec.weightsMb());
    }

    private boolean isLoading(ModelId model) {
        return outstandingLoad().filter(model::equals).isPresent()
                || (uncertain != null && uncertain.model().equals(model));
    }

    private static boolean isModelUnload(EngineOrder order) {
        return order != null && !order.load() && order.adapter().isEmpty();
    }

    private static boolean isModelLoad(EngineOrder order) {
        return order != null && order.load() && order.adapter().isEmpty();
    }

    private long overdueAfter() {
        if (inProgress.adapter().isPresent()) {
            return REPORT_RETRY_NANOS;
        }
        return inProgress.fromStore() ? 5 * OVERDUE_NANOS : OVERDUE_NANOS;
    }
}
