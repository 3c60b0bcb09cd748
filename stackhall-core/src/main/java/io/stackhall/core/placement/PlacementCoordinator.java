package io.stackhall.core.placement;

import io.stackhall.core.config.Configuration;
import io.stackhall.core.config.PolicyName;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.membership.Artifact;
import io.stackhall.core.membership.Resident;
import io.stackhall.core.policy.PlacementAction;
import io.stackhall.core.policy.PlacementPolicy;
import io.stackhall.core.policy.PlacementView;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * Places models in one zone. While this host leads the zone's group, it is the only order issuer.
 *
 * <p>It asks the policy for moves, checks each against the memory account and the limits of the
 * weight store, and records the intent at the group's quorum. Only then is the order sent. A policy
 * never overrides the memory account.
 *
 * @see OrderLedger
 * @see MemoryAccount
 */
public final class PlacementCoordinator {

    private static final long IDLE_DECISION_NANOS = Duration.ofSeconds(1).toNanos();

    private final PlacementSettings settings;
    private final OrderTracker tracks;
    private final PlacementViewBuilder views = new PlacementViewBuilder();
    private final DemandTracker demand = new DemandTracker();
    private final StarvationTracker starvation = new StarvationTracker();
    private final ZoneStoreLimiter storeLimiter;
    private final TreeMap<String, Announcement> reports = new TreeMap<>();
    private final Map<UpstreamId, Proposed> proposed = new HashMap<>();
    private final Set<Placement> speculative = new HashSet<>();
    private final Set<Long> proposedCloses = new HashSet<>();
    private final Set<Long> proposedForgets = new HashSet<>();
    private final List<PlacementEffect> effects = new ArrayList<>();
    private Optional<OrderLedger.State> orders = Optional.empty();
    private Configuration configuration = Configuration.initial();
    private PlacementPolicy policy = PlacementPolicy.of(PolicyName.EXPECTED_GAIN);
    private Optional<ShadowPlacement> shadow = Optional.empty();
    private final Map<PolicyName, PlacementCounts> counts = new EnumMap<>(PolicyName.class);
    private long nextDecision;
    private boolean decisionRequested;

    private record Placement(UpstreamId upstream, Artifact artifact) {}

    private record Proposed(Optional<Artifact> load, long at) {}

    /** Creates a coordinator that does not lead. */
    public PlacementCoordinator(PlacementSettings settings, long now) {
        this.settings = settings;
        this.tracks = new OrderTracker(settings);
        this.storeLimiter = new ZoneStoreLimiter(settings.zones(), now);
        this.nextDecision = now;
    }

    /**
     * Processes an event.
     *
     * @param event the event
     * @param now the monotonic clock, in nanoseconds
     * @return the actions to perform, in order
     */
    public List<PlacementEffect> step(PlacementEvent event, long now) {
        decisionRequested |= requestsDecision(event);
        switch (event) {
            case PlacementEvent.Led(OrderLedger.State state) -> startLeading(state, now);
            case PlacementEvent.Deposed() -> stopLeading();
            case PlacementEvent.LedgerChanged(OrderLedger.State state) -> updateLedger(state, now);
            case PlacementEvent.ProposalFailed(OrderCommand command) -> onProposalFailed(command);
            case PlacementEvent.Reported(Announcement announcement) ->
                    recordReport(announcement, now);
            case PlacementEvent.UpstreamLost(UpstreamId upstream) -> removeUpstream(upstream);
            case PlacementEvent.Configured(Configuration next) -> configure(next, now);
            case PlacementEvent.Demanded(
                            HostId host,
                            Map<ModelId, Integer> arrivals,
                            Map<ModelId, Integer> waiting) ->
                    recordDemand(host, arrivals, waiting, now);
            case PlacementEvent.Answered answered -> tracks.recordAnswer(answered);
            case PlacementEvent.Unanswered(long number, boolean sent) ->
                    tracks.recordNoAnswer(number, sent, now);
            case PlacementEvent.Tick() -> {
                // The steps below run on every event.
            }
        }
        if (orders.isPresent()) {
            settleOrders(orders.get(), now);
            sendOrders(orders.get(), now);
            decide(orders.get(), now);
        }
        List<PlacementEffect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    /** Returns the counts of the policy in force since this coordinator was created. */
    public PlacementCounts counts() {
        return counts.getOrDefault(activePolicy(), PlacementCounts.none());
    }

    /** Returns the counts of each policy while it was in force. */
    public Map<PolicyName, PlacementCounts> countsByPolicy() {
        return Map.copyOf(counts);
    }

    /** Returns the policy in force. */
    public PolicyName activePolicy() {
        return configuration.deployment().policy().active();
    }

    /** Returns the policy that is evaluated in shadow mode, if any. */
    public Optional<PolicyName> comparedPolicy() {
        return shadow.map(ShadowPlacement::policy);
    }

    /** Returns the counts of the compared policy, or zero counts if there is none. */
    public PlacementCounts comparedCounts() {
        return shadow.map(ShadowPlacement::counts).orElse(PlacementCounts.none());
    }

    /** Returns whether an event may require a decision before the idle interval has passed. */
    private boolean requestsDecision(PlacementEvent event) {
        return switch (event) {
            case PlacementEvent.Demanded demanded ->
                    demanded.waiting().values().stream().anyMatch(count -> count > 0);
            case PlacementEvent.Reported(Announcement next) -> {
                Announcement known = reports.get(next.id().value());
                yield known == null || !known.memory().equals(next.memory());
            }
            case PlacementEvent.Tick ignored -> false;
            case PlacementEvent.Answered ignored -> false;
            case PlacementEvent.Unanswered ignored -> false;
            case PlacementEvent.Led ignored -> true;
            case PlacementEvent.Deposed ignored -> false;
            case PlacementEvent.LedgerChanged ignored -> true;
            case PlacementEvent.ProposalFailed ignored -> true;
            case PlacementEvent.UpstreamLost ignored -> true;
            case PlacementEvent.Configured ignored -> true;
        };
    }

    private void startLeading(OrderLedger.State state, long now) {
        tracks.clear();
        tracks.update(state, true, now);
        orders = Optional.of(state);
        nextDecision = now + settings.decideEvery().toNanos();
    }

    private void stopLeading() {
        orders = Optional.empty();
        tracks.clear();
        proposed.clear();
        proposedCloses.clear();
        proposedForgets.clear();
    }

    private void updateLedger(OrderLedger.State state, long now) {
        if (orders.isEmpty()) {
            return;
        }
        orders = Optional.of(state);
        tracks.update(state, false, now);
        state.open().forEach(order -> proposed.remove(order.upstream()));
        proposedCloses.retainAll(numbers(state.open()));
        proposedForgets.retainAll(numbers(state.echoes()));
    }

    private static Set<Long> numbers(List<Order> orders) {
        Set<Long> numbers = new HashSet<>();
        orders.forEach(order -> numbers.add(order.number()));
        return numbers;
    }

    private void onProposalFailed(OrderCommand command) {
        switch (command) {
            case OrderCommand.Intend intend -> proposed.remove(intend.upstream());
            case OrderCommand.Close(long number, boolean ignored) -> proposedCloses.remove(number);
            case OrderCommand.ForgetEcho(long number) -> proposedForgets.remove(number);
        }
    }

    private void recordReport(Announcement announcement, long now) {
        reports.put(announcement.id().value(), announcement);
        views.recordResidents(announcement, now);
    }

    private void removeUpstream(UpstreamId upstream) {
        reports.remove(upstream.value());
        views.remove(upstream);
    }

    private void configure(Configuration next, long now) {
        Optional<PolicyName> compared = next.deployment().policy().compared();
        if (!compared.equals(comparedPolicy())) {
            shadow = compared.map(name -> new ShadowPlacement(name, settings.zones(), now));
        }
        configuration = next;
        policy = PlacementPolicy.of(activePolicy());
        storeLimiter.setLimits(next.deployment().weightStore());
        Set<ModelId> deployed = new HashSet<>();
        next.deployment().models().forEach(model -> deployed.add(model.id()));
        next.deployment().adapters().forEach(adapter -> deployed.add(adapter.id()));
        demand.retain(deployed);
    }

    private void recordDemand(
            HostId host, Map<ModelId, Integer> arrivals, Map<ModelId, Integer> waiting, long now) {
        Set<ModelId> resident = residentModels();
        arrivals.forEach(
                (model, count) ->
                        updateCounts(of -> of.withArrivals(count, !resident.contains(model))));
        shadow.ifPresent(of -> of.recordArrivals(arrivals, now));
        starvation.recordRequests(arrivals.keySet(), resident, now);
        demand.recordReport(host, arrivals, waiting, now);
    }

    private void settleOrders(OrderLedger.State state, long now) {
        for (Order order : state.open()) {
            Announcement report = reports.get(order.upstream().value());
            if (report != null) {
                tracks.closeIfSettled(order, report, now).ifPresent(this::close);
            }
        }
        tracks.expiredEchoes(state, reports, now).forEach(this::forgetEcho);
    }

    private void close(OrderCommand.Close close) {
        if (proposedCloses.add(close.number())) {
            effects.add(new PlacementEffect.Propose(close));
        }
    }

    private void forgetEcho(OrderCommand.ForgetEcho forgotten) {
        if (proposedForgets.add(forgotten.number())) {
            effects.add(new PlacementEffect.Propose(forgotten));
        }
    }

    private void sendOrders(OrderLedger.State state, long now) {
        for (Order order : state.open()) {
            Announcement report = reports.get(order.upstream().value());
            if (report == null || proposedCloses.contains(order.number())) {
                continue;
            }
            if (tracks.neverSent(order) && !stillFits(order, report, state)) {
                close(new OrderCommand.Close(order.number(), false));
            } else if (tracks.startSend(order, now)) {
                effects.add(new PlacementEffect.Send(order, report.address()));
            }
        }
    }

    /** Checks again that the order fits, with the order charged: memory may have changed since. */
    private static boolean stillFits(Order order, Announcement report, OrderLedger.State state) {
        return order.kind() == Order.Kind.UNLOAD || MemoryAccount.of(report, state).freeMib() >= 0;
    }

    private void decide(OrderLedger.State state, long now) {
        long due = decisionRequested ? nextDecision : nextDecision + IDLE_DECISION_NANOS;
        if (now - due < 0) {
            return;
        }
        decisionRequested = false;
        nextDecision = now + settings.decideEvery().toNanos();
        dropStaleProposals(now);
        List<PlacementView.Engine> engines =
                views.engines(reports.values(), state, busy(state), configuration, now);
        List<PlacementView.DeployedArtifact> deployed =
                PlacementViewBuilder.deployed(
                        configuration.deployment(),
                        demand,
                        model -> demand.waiting(model, now),
                        starvation,
                        residentModels(),
                        now);
        int allowed = storeLimiter.availableLoads(runningLoads(state), now);
        for (PlacementAction action :
                policy.decide(new PlacementView(engines, deployed, allowed, now))) {
            apply(action, deployed, state, now);
        }
        shadow.ifPresent(of -> of.decide(engines, configuration.deployment(), demand, now));
    }

    private void apply(
            PlacementAction action,
            List<PlacementView.DeployedArtifact> deployed,
            OrderLedger.State state,
            long now) {
        Announcement report = reports.get(action.upstream().value());
        switch (action) {
            case PlacementAction.Load load -> {
                long memoryMib = memoryOf(load.artifact(), deployed);
                if (MemoryAccount.of(report, state).admits(memoryMib)) {
                    updateCounts(PlacementCounts::withLoad);
                    storeLimiter.recordLoad();
                    recordIfSpeculative(load);
                    intend(report, Order.Kind.LOAD, load.artifact(), memoryMib, now);
                }
            }
            case PlacementAction.Unload unload -> {
                countIfNeedless(unload, now);
                intend(report, Order.Kind.UNLOAD, unload.artifact(), 0, now);
            }
        }
    }

    private void intend(
            Announcement report, Order.Kind kind, Artifact artifact, long memoryMib, long now) {
        long highestSeen =
                reports.values().stream()
                        .mapToLong(seen -> seen.fencing().highest())
                        .max()
                        .orElse(0);
        boolean loads = kind == Order.Kind.LOAD;
        proposed.put(
                report.id(), new Proposed(loads ? Optional.of(artifact) : Optional.empty(), now));
        effects.add(
                new PlacementEffect.Propose(
                        new OrderCommand.Intend(
                                report.id(),
                                report.incarnation(),
                                kind,
                                artifact,
                                memoryMib,
                                highestSeen)));
    }

    private void updateCounts(UnaryOperator<PlacementCounts> change) {
        counts.put(activePolicy(), change.apply(counts()));
    }

    private void recordIfSpeculative(PlacementAction.Load load) {
        if (!load.urgent()) {
            speculative.add(new Placement(load.upstream(), load.artifact()));
        }
    }

    /** Counts a load that no request waited for and that was unloaded before any request came. */
    private void countIfNeedless(PlacementAction.Unload unload, long now) {
        long since = views.residentSince(unload.upstream(), unload.artifact(), now);
        boolean unused = demand.lastUsed(unload.artifact().id(), Long.MIN_VALUE) < since;
        if (speculative.remove(new Placement(unload.upstream(), unload.artifact())) && unused) {
            updateCounts(PlacementCounts::withNeedlessLoad);
        }
    }

    /** Returns the upstreams that cannot take another order, with what each may be loading. */
    private Map<UpstreamId, Optional<Artifact>> busy(OrderLedger.State state) {
        Map<UpstreamId, Optional<Artifact>> busy = new HashMap<>();
        proposed.forEach((upstream, of) -> busy.put(upstream, of.load()));
        for (Order order : state.open()) {
            boolean loads = order.kind() == Order.Kind.LOAD;
            busy.put(order.upstream(), loads ? Optional.of(order.artifact()) : Optional.empty());
        }
        return busy;
    }

    /** Drops proposals without a result for the lifetime of an order: they will not be applied. */
    private void dropStaleProposals(long now) {
        proposed.values().removeIf(of -> now - of.at() > settings.orderLifetime().toNanos());
    }

    private static int runningLoads(OrderLedger.State state) {
        return (int) state.open().stream().filter(order -> order.kind() == Order.Kind.LOAD).count();
    }

    private static long memoryOf(Artifact artifact, List<PlacementView.DeployedArtifact> deployed) {
        return deployed.stream()
                .filter(deployedArtifact -> deployedArtifact.artifact().equals(artifact))
                .mapToLong(PlacementView.DeployedArtifact::memoryMib)
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(artifact + " is not deployed"));
    }

    private Set<ModelId> residentModels() {
        Set<ModelId> resident = new HashSet<>();
        for (Announcement report : reports.values()) {
            for (Resident item : report.memory().resident()) {
                resident.add(item.artifact().id());
            }
        }
        return resident;
    }
}
