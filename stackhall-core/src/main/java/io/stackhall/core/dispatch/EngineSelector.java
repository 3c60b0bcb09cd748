package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.ModelWeights;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Picks an engine that holds the requested model: by the expected time to the first event where
 * engines report their slowdown, else by the prompt tokens that they have yet to process.
 */
final class EngineSelector {

    /** An instance in another zone is chosen if it has this many fewer prompt tokens to process. */
    private static final double OTHER_ZONE_TOKENS = 150;

    /**
     * The time that a request and the first event of its answer travel to and from another zone.
     */
    private static final double TRANSFER_NANOS = Duration.ofMillis(2).toNanos();

    /**
     * Share of the latency objective available for prompt processing; the rest allows for prompts
     * of other hosts that are not reported yet, and for queueing.
     */
    private static final double OBJECTIVE_SHARE = 0.5;

    /**
     * Share of the latency objective available for prompt processing at engines that report their
     * slowdown; larger, since the work expected there includes unreported prompts of other hosts.
     */
    private static final double EXPECTED_OBJECTIVE_SHARE = 0.85;

    /**
     * An engine of the host's own zone is preferred while it is expected to answer within this
     * share of the remaining latency objective.
     */
    private static final double OWN_ZONE_SHARE = 0.25;

    /**
     * An engine without a first event for this long counts as silent, and is avoided while other
     * engines answer.
     */
    private static final long SILENCE_NANOS = Duration.ofMillis(1500).toNanos();

    private static final double FAILURE_WEIGHT = 6;
    private static final double SINGLE_TOKEN = 1;

    private final ZoneId zone;
    private final RandomGenerator random;
    private final Function<UpstreamId, InstanceLoad> loads;
    private final ResidencyEstimate residency;

    EngineSelector(
            ZoneId zone,
            RandomGenerator random,
            Function<UpstreamId, InstanceLoad> loads,
            ResidencyEstimate residency) {
        this.zone = zone;
        this.random = random;
        this.loads = loads;
        this.residency = residency;
    }

    Choice select(
            DispatchRequest request, List<Instance> serving, EngineSpec engine, PrefillRate rate) {
        ModelId model = request.need().model().orElseThrow();
        List<Instance> holders = new ArrayList<>();
        for (Instance instance : serving) {
            boolean reported = instance.copyOf(model).isPresent();
            if (reported
                    && residency.holds(instance, model, Optional.empty(), true, request.now())) {
                holders.add(instance);
            }
        }
        if (holders.isEmpty()) {
            return modelMissing(model, serving, engine, request.now());
        }
        List<Instance> responsive =
                holders.stream()
                        .filter(holder -> !isUnresponsive(holder.id(), request.now()))
                        .toList();
        return selectAmong(responsive.isEmpty() ? holders : responsive, request, engine, rate);
    }

    private Choice selectAmong(
            List<Instance> holders, DispatchRequest request, EngineSpec engine, PrefillRate rate) {
        Candidates ready = new Candidates();
        Candidates withoutAdapter = new Candidates();
        double total = 0;
        boolean byTime = rate.isKnown() && holders.stream().anyMatch(this::reportsSlowdown);
        for (Instance instance : holders) {
            InstanceLoad load = loads.apply(instance.id());
            PrefillRate current = load.currentRate(rate, request.now());
            total += requestsPerSecond(load, request, engine, load.usualRate(rate));
            if (admits(load, request, engine, rate)) {
                Candidates group = hasAdapter(instance, request) ? ready : withoutAdapter;
                double score =
                        byTime
                                ? timeScore(instance, load, request, current)
                                : tokenScore(instance, load, request, current);
                group.add(instance, score, request.suspect());
            }
        }
        if (!ready.isEmpty()) {
            return new Choice.Send(ready.lowestScore(random), "resident");
        }
        if (!withoutAdapter.isEmpty()) {
            return new Choice.AdapterMissing(withoutAdapter.lowestScore(random));
        }
        return new Choice.Full(total);
    }

    /**
     * Returns whether an engine may get one more prompt from this host. Many hosts with a few
     * prompts each could fill an engine for seconds before one of them notices a slow answer; the
     * unread tokens that hosts report to each other bound them together.
     */
    private static boolean admits(
            InstanceLoad load, DispatchRequest request, EngineSpec engine, PrefillRate rate) {
        return load.occupancy(request.now()) < engine.slots()
                && load.admitsPrompt(request.isLate(), request.now())
                && meetsObjective(load, request, rate);
    }

    private static boolean meetsObjective(
            InstanceLoad load, DispatchRequest request, PrefillRate ofService) {
        long now = request.now();
        long own = load.uncachedTokens(request.need());
        PrefillRate current = load.currentRate(ofService, now);
        double share = load.slowdown().isKnown() ? EXPECTED_OBJECTIVE_SHARE : OBJECTIVE_SHARE;
        Duration available = Duration.ofNanos(Math.round(request.objective().toNanos() * share));
        Duration remaining = request.isLate() ? Duration.ZERO : request.objective();
        // The expected work of other hosts is never zero. A prompt that misses the objective even
        // behind a single token is judged by the reported work, or it would never be sent.
        boolean fitsAtUsualSpeed =
                load.usualRate(ofService).meetsObjective(SINGLE_TOKEN, own, available, remaining);
        double waiting =
                fitsAtUsualSpeed
                        ? load.expectedUnreadTokens(current, now)
                        : load.unreadTokens(current, now);
        return current.meetsObjective(waiting, own, available, request.remaining());
    }

    /**
     * Returns how many requests per second this host can send to an engine, limited by its own
     * answers and slots, and by its share of the engine's prompt processing rate. Without the
     * latter, requests that were refused in an overload had waited 4.6 s of 4.65 s, now 1.8 s
     * (simulation with 16 hosts, 20 seeds).
     */
    private static double requestsPerSecond(
            InstanceLoad load, DispatchRequest request, EngineSpec engine, PrefillRate rate) {
        double prefill =
                rate.promptsPerSecond(request.need().promptTokens())
                        * load.shareOfUnread(rate, request.need().promptTokens(), request.now());
        return Math.min(load.requestsPerSecond(engine.slots(), request.now()), prefill);
    }

    private boolean isUnresponsive(UpstreamId id, long now) {
        InstanceLoad load = loads.apply(id);
        return load.inBackoff(now) || load.isSilentFor(SILENCE_NANOS, now);
    }

    private Choice modelMissing(
            ModelId model, List<Instance> serving, EngineSpec engine, long now) {
        Optional<ModelWeights> weights = engine.model(model);
        if (weights.isEmpty()) {
            return new Choice.NobodyServes();
        }
        Duration load = weights.get().loadFromStore();
        long soonest = Long.MAX_VALUE;
        for (Instance instance : serving) {
            Duration here = weights.get().loadTime(instance.inHostMemory(), instance.onDisk());
            load = here.compareTo(load) < 0 ? here : load;
            soonest = Math.min(soonest, residency.remainingLoadNanos(instance.id(), model, now));
        }
        return soonest == Long.MAX_VALUE
                ? new Choice.ModelMissing(load)
                : new Choice.ModelComing(Duration.ofNanos(soonest));
    }

    private boolean reportsSlowdown(Instance instance) {
        return loads.apply(instance.id()).slowdown().isKnown();
    }

    /**
     * Returns the expected time to the first event. Engines outside the preference for the host's
     * own zone come after all that are within it.
     */
    private double timeScore(
            Instance instance, InstanceLoad load, DispatchRequest request, PrefillRate rate) {
        double expected = rate.nanosFor(workAhead(load, request, rate)) * penalty(load);
        double preferred = OWN_ZONE_SHARE * Math.max(0, request.remaining().toNanos());
        if (!instance.zone().equals(zone)) {
            return preferred + expected + TRANSFER_NANOS;
        }
        return expected <= preferred ? expected : preferred + expected;
    }

    private double tokenScore(
            Instance instance, InstanceLoad load, DispatchRequest request, PrefillRate rate) {
        double tokens = workAhead(load, request, rate);
        tokens += instance.zone().equals(zone) ? 0 : OTHER_ZONE_TOKENS;
        return tokens * penalty(load);
    }

    /** Returns the work before the first event of a request, in prompt tokens. */
    private static double workAhead(InstanceLoad load, DispatchRequest request, PrefillRate rate) {
        double unread = load.unreadTokens(rate, request.now());
        return load.workAhead(unread, request.need(), request.now());
    }

    private static double penalty(InstanceLoad load) {
        return 1 + FAILURE_WEIGHT * load.failureShare();
    }

    private boolean hasAdapter(Instance instance, DispatchRequest request) {
        Optional<String> adapter = request.need().adapter();
        if (adapter.isEmpty()) {
            return true;
        }
        ModelId model = request.need().model().orElseThrow();
        boolean reported =
                instance.copyOf(model)
                        .filter(copy -> copy.adapters().contains(adapter.get()))
                        .isPresent();
        return residency.holds(instance, model, adapter, reported, request.now());
    }
}
