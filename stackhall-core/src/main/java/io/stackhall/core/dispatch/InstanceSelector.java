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
 * Decides where one request goes: to an instance that takes it at once where there is one, or else
 * to one that this host has to hold back from for a while.
 */
final class InstanceSelector {

    private final ServiceProfiles services;
    private final ColdInstanceLimiter coldLimiter;
    private final Backpressure backpressure;
    private final PlainServiceSelector plain;
    private final EngineSelector engines;

    InstanceSelector(
            ServiceProfiles services,
            ColdInstanceLimiter cold,
            Backpressure backpressure,
            PlainServiceSelector plain,
            EngineSelector holders) {
        this.services = services;
        this.coldLimiter = cold;
        this.backpressure = backpressure;
        this.plain = plain;
        this.engines = holders;
    }

    /** The instances that may get a request, by what keeps them from it. */
    private static final class Partition {
        private final List<Instance> serving = new ArrayList<>();
        private final List<Instance> lastResort = new ArrayList<>();
        private final List<Instance> limited = new ArrayList<>();
        private final List<Instance> resting = new ArrayList<>();
        private boolean anyReady;
        private boolean coldLimited;
    }

    /**
     * Decides.
     *
     * @param evacuated the zones whose instances get nothing
     * @param allowed those that the request may be sent to
     */
    Choice select(
            DispatchRequest asked,
            Collection<Instance> instances,
            EvacuatedZones evacuated,
            Predicate<UpstreamId> allowed) {
        Partition sorted = partition(asked, instances, evacuated, allowed);
        Optional<Choice> now = selectServing(sorted, asked).or(() -> waitForTimeSlot(sorted));
        Optional<Choice> later = orWaitForRestEnd(sorted.resting, now, asked);
        Optional<Choice> decided = orWaitForPermit(sorted.limited, later, asked);
        return decided.orElseGet(
                () -> sorted.anyReady ? new Choice.AllTried() : new Choice.NobodyServes());
    }

    private Partition partition(
            DispatchRequest asked,
            Collection<Instance> instances,
            EvacuatedZones evacuated,
            Predicate<UpstreamId> allowed) {
        Partition sorted = new Partition();
        double bearsCold = services.coldRequestsPerSecond(asked.need().service());
        for (Instance instance : instances) {
            boolean fits =
                    instance.state() == InstanceState.READY
                            && !evacuated.contains(instance.zone())
                            && instance.service().equals(asked.need().service());
            sorted.anyReady |= fits;
            if (!fits || !allowed.test(instance.id())) {
                continue;
            }
            if (!coldLimiter.allows(instance.id(), bearsCold, asked.now())) {
                sorted.coldLimited = true;
                continue;
            }
            switch (backpressure.hold(instance.id(), asked.now())) {
                case NONE -> sorted.serving.add(instance);
                case COMES_LAST -> sorted.lastResort.add(instance);
                case LIMIT -> sorted.limited.add(instance);
                case REST -> sorted.resting.add(instance);
            }
        }
        return sorted;
    }

    /** A cold instance takes a request as soon as this host has its turn there. */
    private static Optional<Choice> waitForTimeSlot(Partition sorted) {
        return sorted.coldLimited ? Optional.of(new Choice.Full(0)) : Optional.empty();
    }

    /** Decides among those that may be sent to at once. */
    private Optional<Choice> selectServing(Partition sorted, DispatchRequest asked) {
        Optional<Choice> first = selectAmong(sorted.serving, asked);
        if (sorted.lastResort.isEmpty()
                || first.filter(Choice.Send.class::isInstance).isPresent()) {
            return first;
        }
        List<Instance> all = new ArrayList<>(sorted.serving);
        all.addAll(sorted.lastResort);
        return selectAmong(all, asked);
    }

    private Optional<Choice> selectAmong(List<Instance> instances, DispatchRequest asked) {
        if (instances.isEmpty()) {
            return Optional.empty();
        }
        Optional<EngineSpec> engine = services.engine(asked.need().service());
        if (asked.need().model().isEmpty() || engine.isEmpty()) {
            return Optional.of(plain.select(instances, asked.suspect(), asked.now()));
        }
        PrefillRate pace = services.prefillRate(asked.need().service());
        return Optional.of(engines.select(asked, instances, engine.get(), pace));
    }

    private boolean canSendTo(Instance instance, DispatchRequest asked) {
        return selectAmong(List.of(instance), asked)
                .filter(Choice.Send.class::isInstance)
                .isPresent();
    }

    /**
     * Decides about instances that want rest: a request that another one takes, now or once it has
     * the adapter, goes there, any other may wait for the first rest that ends.
     *
     * @param otherwise what becomes of it without them
     */
    private Optional<Choice> orWaitForRestEnd(
            List<Instance> resting, Optional<Choice> otherwise, DispatchRequest asked) {
        if (resting.isEmpty() || otherwise.filter(InstanceSelector::isServed).isPresent()) {
            return otherwise;
        }
        return resting.stream()
                .filter(one -> canSendTo(one, asked))
                .min(Comparator.comparing(one -> remainingRest(one, asked)))
                .<Choice>map(one -> new Choice.Resting(one, remainingRest(one, asked), otherwise))
                .or(() -> otherwise.or(() -> selectAmong(resting, asked)));
    }

    private Duration remainingRest(Instance resting, DispatchRequest asked) {
        return backpressure.restLeft(resting.id(), asked.now());
    }

    private static boolean isServed(Choice choice) {
        return choice instanceof Choice.Send || choice instanceof Choice.AdapterMissing;
    }

    /**
     * Decides about instances that could be sent nothing without a permit: a request that another
     * one takes goes there at once, any other waits for the permit.
     *
     * @param otherwise what becomes of it without them
     */
    private Optional<Choice> orWaitForPermit(
            List<Instance> limited, Optional<Choice> otherwise, DispatchRequest asked) {
        if (limited.isEmpty()
                || otherwise.filter(Choice.AdapterMissing.class::isInstance).isPresent()) {
            return otherwise;
        }
        if (otherwise.filter(Choice.Send.class::isInstance).isPresent()) {
            requestSparePermits(limited, asked);
            return otherwise;
        }
        return switch (selectAmong(limited, asked).orElseThrow()) {
            case Choice.Send(Instance instance, String why) ->
                    Optional.of(
                            new Choice.Limited(
                                    instance,
                                    backpressure.awaitPermit(instance.id(), asked.now()),
                                    otherwise));
            case Choice.AdapterMissing missing -> Optional.of(missing);
            case Choice other -> otherwise.isPresent() ? otherwise : Optional.of(other);
        };
    }

    /** Only an answer can tell that a limit has ended, so that those with one are tried too. */
    private void requestSparePermits(List<Instance> limited, DispatchRequest asked) {
        limited.stream()
                .filter(one -> backpressure.spareDue(one.id(), asked.now()))
                .filter(one -> canSendTo(one, asked))
                .forEach(one -> backpressure.spare(one.id(), asked.now()));
    }
}
