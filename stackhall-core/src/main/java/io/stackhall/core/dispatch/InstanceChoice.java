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
final class InstanceChoice {

    private final ServiceFacts services;
    private final ColdShare cold;
    private final Backpressure backpressure;
    private final PlainChoice plain;
    private final EngineChoice holders;

    InstanceChoice(
            ServiceFacts services,
            ColdShare cold,
            Backpressure backpressure,
            PlainChoice plain,
            EngineChoice holders) {
        this.services = services;
        this.cold = cold;
        this.backpressure = backpressure;
        this.plain = plain;
        this.holders = holders;
    }

    /** The instances that may get a request, by what keeps them from it. */
    private static final class Sorted {
        private final List<Instance> serving = new ArrayList<>();
        private final List<Instance> last = new ArrayList<>();
        private final List<Instance> limited = new ArrayList<>();
        private final List<Instance> resting = new ArrayList<>();
        private boolean known;
        private boolean spared;
    }

    /**
     * Decides.
     *
     * @param evacuated the zones whose instances get nothing
     * @param allowed those that the request may be sent to
     */
    Choice choose(
            Asked asked,
            Collection<Instance> instances,
            EvacuatedZones evacuated,
            Predicate<UpstreamId> allowed) {
        Sorted sorted = sort(asked, instances, evacuated, allowed);
        Optional<Choice> now = serving(sorted, asked).or(() -> spared(sorted));
        Optional<Choice> later = resting(sorted.resting, now, asked);
        Optional<Choice> decided = limited(sorted.limited, later, asked);
        return decided.orElseGet(
                () -> sorted.known ? new Choice.AllTried() : new Choice.NobodyServes());
    }

    private Sorted sort(
            Asked asked,
            Collection<Instance> instances,
            EvacuatedZones evacuated,
            Predicate<UpstreamId> allowed) {
        Sorted sorted = new Sorted();
        double bearsCold = services.coldPerSecond(asked.need().service());
        for (Instance instance : instances) {
            boolean fits =
                    instance.state() == InstanceState.READY
                            && !evacuated.contains(instance.zone())
                            && instance.service().equals(asked.need().service());
            sorted.known |= fits;
            if (!fits || !allowed.test(instance.id())) {
                continue;
            }
            if (!cold.allows(instance.id(), bearsCold, asked.now())) {
                sorted.spared = true;
                continue;
            }
            switch (backpressure.hold(instance.id(), asked.now())) {
                case NONE -> sorted.serving.add(instance);
                case COMES_LAST -> sorted.last.add(instance);
                case LIMIT -> sorted.limited.add(instance);
                case REST -> sorted.resting.add(instance);
            }
        }
        return sorted;
    }

    /** A cold instance takes a request as soon as this host has its turn there. */
    private static Optional<Choice> spared(Sorted sorted) {
        return sorted.spared ? Optional.of(new Choice.Full(0)) : Optional.empty();
    }

    /** Decides among those that may be sent to at once. */
    private Optional<Choice> serving(Sorted sorted, Asked asked) {
        Optional<Choice> first = among(sorted.serving, asked);
        if (sorted.last.isEmpty() || first.filter(Choice.Send.class::isInstance).isPresent()) {
            return first;
        }
        List<Instance> all = new ArrayList<>(sorted.serving);
        all.addAll(sorted.last);
        return among(all, asked);
    }

    private Optional<Choice> among(List<Instance> instances, Asked asked) {
        if (instances.isEmpty()) {
            return Optional.empty();
        }
        Optional<EngineSpec> engine = services.engine(asked.need().service());
        if (asked.need().model().isEmpty() || engine.isEmpty()) {
            return Optional.of(plain.choose(instances, asked.apart(), asked.now()));
        }
        ReadingPace pace = services.pace(asked.need().service());
        return Optional.of(holders.choose(asked, instances, engine.get(), pace));
    }

    private boolean takes(Instance instance, Asked asked) {
        return among(List.of(instance), asked).filter(Choice.Send.class::isInstance).isPresent();
    }

    /**
     * Decides about instances that want rest: a request that another one takes, now or once it has
     * the adapter, goes there, any other may wait for the first rest that ends.
     *
     * @param otherwise what becomes of it without them
     */
    private Optional<Choice> resting(
            List<Instance> resting, Optional<Choice> otherwise, Asked asked) {
        if (resting.isEmpty() || otherwise.filter(InstanceChoice::isServed).isPresent()) {
            return otherwise;
        }
        return resting.stream()
                .filter(one -> takes(one, asked))
                .min(Comparator.comparing(one -> left(one, asked)))
                .<Choice>map(one -> new Choice.Resting(one, left(one, asked), otherwise))
                .or(() -> otherwise.or(() -> among(resting, asked)));
    }

    private Duration left(Instance resting, Asked asked) {
        return backpressure.remainingRest(resting.id(), asked.now());
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
    private Optional<Choice> limited(
            List<Instance> limited, Optional<Choice> otherwise, Asked asked) {
        if (limited.isEmpty()
                || otherwise.filter(Choice.AdapterMissing.class::isInstance).isPresent()) {
            return otherwise;
        }
        if (otherwise.filter(Choice.Send.class::isInstance).isPresent()) {
            askForSpare(limited, asked);
            return otherwise;
        }
        return switch (among(limited, asked).orElseThrow()) {
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
    private void askForSpare(List<Instance> limited, Asked asked) {
        limited.stream()
                .filter(one -> backpressure.optionalRequestDue(one.id(), asked.now()))
                .filter(one -> takes(one, asked))
                .forEach(one -> backpressure.requestOptionalPermit(one.id(), asked.now()));
    }
}
