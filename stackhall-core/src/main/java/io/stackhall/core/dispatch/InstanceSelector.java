package io.stackhall.core.dispatch;

import io.stackhall.core.backpressure.Backpressure;
import io.stackhall.core.fleet.EvacuatedZones;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.route.EngineSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides where one request goes: to an instance that accepts it at once if there is one, else to
 * an instance for whose limit or rest the request has to wait.
 */
final class InstanceSelector {

    private final ServiceProfiles services;
    private final ColdInstanceLimiter coldLimiter;
    private final Backpressure backpressure;
    private final PlainServiceSelector plain;
    private final EngineSelector engines;

    InstanceSelector(
            ServiceProfiles services,
            ColdInstanceLimiter coldLimiter,
            Backpressure backpressure,
            PlainServiceSelector plain,
            EngineSelector engines) {
        this.services = services;
        this.coldLimiter = coldLimiter;
        this.backpressure = backpressure;
        this.plain = plain;
        this.engines = engines;
    }

    /** The instances that may get a request, grouped by what holds the request back from them. */
    private static final class Partition {
        private final List<Instance> serving = new ArrayList<>();
        private final List<Instance> lastResort = new ArrayList<>();
        private final List<Instance> limited = new ArrayList<>();
        private final List<Instance> resting = new ArrayList<>();
        private boolean anyReady;
        private boolean coldLimited;
    }

    /**
     * Decides where a request goes.
     *
     * @param evacuated the zones whose instances get no requests
     * @param allowed the instances that the request may be sent to
     */
    Choice select(
            DispatchRequest request,
            Collection<Instance> instances,
            EvacuatedZones evacuated,
            Predicate<UpstreamId> allowed) {
        Partition partition = partition(request, instances, evacuated, allowed);
        Optional<Choice> now =
                selectServing(partition, request).or(() -> waitForTimeSlot(partition));
        Optional<Choice> later = orWaitForRestEnd(partition.resting, now, request);
        Optional<Choice> decided = orWaitForPermit(partition.limited, later, request);
        return decided.orElseGet(
                () ->
                        partition.anyReady
                                ? new Choice.AllTried()
                                : forVersion(new Choice.NobodyServes(), request));
    }

    /**
     * Returns a choice, adapted if only one version of the software may run the request. What is
     * missing there need not come: loads go to instances of any version.
     */
    private static Choice forVersion(Choice choice, DispatchRequest request) {
        boolean missing =
                choice instanceof Choice.NobodyServes || choice instanceof Choice.ModelMissing;
        boolean bound = request.need().software().isPresent();
        return missing && bound ? new Choice.VersionMissing() : choice;
    }

    private Partition partition(
            DispatchRequest request,
            Collection<Instance> instances,
            EvacuatedZones evacuated,
            Predicate<UpstreamId> allowed) {
        Partition partition = new Partition();
        double coldPerSecond = services.coldRequestsPerSecond(request.need().service());
        for (Instance instance : instances) {
            boolean fits =
                    instance.state() == InstanceState.READY
                            && !evacuated.contains(instance.zone())
                            && request.need().isMetBy(instance);
            partition.anyReady |= fits;
            if (!fits || !allowed.test(instance.id())) {
                continue;
            }
            if (!coldLimiter.allows(instance.id(), coldPerSecond, request.now())) {
                partition.coldLimited = true;
                continue;
            }
            switch (backpressure.hold(instance.id(), request.now())) {
                case NONE -> partition.serving.add(instance);
                case COMES_LAST -> partition.lastResort.add(instance);
                case LIMIT -> partition.limited.add(instance);
                case REST -> partition.resting.add(instance);
            }
        }
        return partition;
    }

    /**
     * Waits for a slot if a cold instance is available, which accepts a request in the next time
     * slot of this host.
     */
    private static Optional<Choice> waitForTimeSlot(Partition partition) {
        return partition.coldLimited ? Optional.of(new Choice.Full(0)) : Optional.empty();
    }

    /**
     * Decides among the instances that may be sent a request at once; those that rejected the last
     * one are only considered when no other can take it.
     */
    private Optional<Choice> selectServing(Partition partition, DispatchRequest request) {
        Optional<Choice> first = selectAmong(partition.serving, request);
        if (partition.lastResort.isEmpty()
                || first.filter(Choice.Send.class::isInstance).isPresent()) {
            return first;
        }
        List<Instance> all = new ArrayList<>(partition.serving);
        all.addAll(partition.lastResort);
        return selectAmong(all, request);
    }

    private Optional<Choice> selectAmong(List<Instance> instances, DispatchRequest request) {
        if (instances.isEmpty()) {
            return Optional.empty();
        }
        Optional<EngineSpec> engine = services.engine(request.need().service());
        if (request.need().model().isEmpty() || engine.isEmpty()) {
            return Optional.of(plain.select(instances, request.suspect(), request.now()));
        }
        PrefillRate rate = services.prefillRate(request.need().service());
        return Optional.of(
                forVersion(engines.select(request, instances, engine.get(), rate), request));
    }

    private boolean canSendTo(Instance instance, DispatchRequest request) {
        return selectAmong(List.of(instance), request)
                .filter(Choice.Send.class::isInstance)
                .isPresent();
    }

    /**
     * Adds the instances that have asked this host for a rest. A request that another instance
     * takes, now or once it has loaded the adapter, goes there; any other may wait for the first
     * rest that ends.
     *
     * @param otherwise the choice without the resting instances
     */
    private Optional<Choice> orWaitForRestEnd(
            List<Instance> resting, Optional<Choice> otherwise, DispatchRequest request) {
        if (resting.isEmpty() || otherwise.filter(InstanceSelector::isServed).isPresent()) {
            return otherwise;
        }
        return resting.stream()
                .filter(instance -> canSendTo(instance, request))
                .min(Comparator.comparing(instance -> remainingRest(instance, request)))
                .<Choice>map(
                        instance ->
                                new Choice.Resting(
                                        instance, remainingRest(instance, request), otherwise))
                .or(() -> otherwise.or(() -> selectAmong(resting, request)));
    }

    private Duration remainingRest(Instance resting, DispatchRequest request) {
        return backpressure.remainingRest(resting.id(), request.now());
    }

    private static boolean isServed(Choice choice) {
        return choice instanceof Choice.Send || choice instanceof Choice.AdapterMissing;
    }

    /**
     * Adds the instances that need a permit. A request that another instance takes goes there at
     * once; any other waits for the permit.
     *
     * @param otherwise the choice without the limited instances
     */
    private Optional<Choice> orWaitForPermit(
            List<Instance> limited, Optional<Choice> otherwise, DispatchRequest request) {
        if (limited.isEmpty()
                || otherwise.filter(Choice.AdapterMissing.class::isInstance).isPresent()) {
            return otherwise;
        }
        if (otherwise.filter(Choice.Send.class::isInstance).isPresent()) {
            requestSparePermits(limited, request);
            return otherwise;
        }
        return switch (selectAmong(limited, request).orElseThrow()) {
            case Choice.Send(Instance instance, String why) ->
                    Optional.of(
                            new Choice.Limited(
                                    instance,
                                    backpressure.awaitPermit(instance.id(), request.now()),
                                    otherwise));
            case Choice.AdapterMissing missing -> Optional.of(missing);
            case Choice other -> otherwise.isPresent() ? otherwise : Optional.of(other);
        };
    }

    /**
     * Asks for permits beyond what is needed, since only an answer from a limited instance can show
     * that its limit has ended.
     */
    private void requestSparePermits(List<Instance> limited, DispatchRequest request) {
        limited.stream()
                .filter(instance -> backpressure.optionalRequestDue(instance.id(), request.now()))
                .filter(instance -> canSendTo(instance, request))
                .forEach(
                        instance ->
                                backpressure.requestOptionalPermit(instance.id(), request.now()));
    }
}
