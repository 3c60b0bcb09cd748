package io.stackhall.server.gateway;

import io.stackhall.core.dispatch.Dispatcher;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.path.LinkEvidence;
import io.stackhall.server.relay.CallFailure.Stage;
import io.stackhall.server.relay.UpstreamClient;
import io.stackhall.server.relay.UpstreamRoute;
import io.stackhall.server.settings.Address;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Tells whether a connection that has failed says something about its upstream, or only about the
 * links of this host. Used on one event loop.
 */
final class OwnLinks {

    private final UpstreamClient upstreams;
    private final UpstreamPathMonitor paths;
    private final Dispatcher dispatcher;
    private final RandomGenerator random;

    OwnLinks(
            UpstreamClient upstreams,
            UpstreamPathMonitor paths,
            Dispatcher dispatcher,
            RandomGenerator random) {
        this.upstreams = upstreams;
        this.paths = paths;
        this.dispatcher = dispatcher;
        this.random = random;
    }

    /**
     * Returns whether connections of this host to an upstream are known to fail, and its own links
     * are to blame for it.
     */
    boolean areToBlame(Instance instance) {
        boolean broken = paths.isBroken(instance.id());
        return broken && (paths.isMute(instance.id()) || areMostOthersBroken(instance));
    }

    /**
     * Finds out whether the upstream is to blame for a connection of this host that failed. Where
     * it was refused, connections to others of its service show it at once; where nothing came
     * back, that would take too long for the one who waits.
     *
     * @param result told whether the upstream is to blame, as far as this host can tell
     */
    void checkUpstreamIsToBlame(Instance failed, Stage stage, Consumer<Boolean> result) {
        if (paths.isAlone()) {
            result.accept(true);
        } else if (stage == Stage.REFUSED) {
            connectToOthers(failed, result);
        } else {
            result.accept(!areMostOthersBroken(failed));
        }
    }

    private boolean areMostOthersBroken(Instance failed) {
        List<Instance> others = othersLike(failed);
        return LinkEvidence.areMostBroken(others.size(), unbroken(others).size());
    }

    private List<Instance> unbroken(List<Instance> all) {
        return all.stream().filter(one -> !paths.isBroken(one.id())).toList();
    }

    private void connectToOthers(Instance failed, Consumer<Boolean> result) {
        List<Instance> others = othersLike(failed);
        List<Instance> unbroken = new ArrayList<>(unbroken(others));
        Collections.shuffle(unbroken, random);
        LinkEvidence evidence = new LinkEvidence(others.size(), unbroken.size());
        if (evidence.verdict().isPresent()) {
            result.accept(evidence.verdict().get());
            return;
        }
        for (Instance other : unbroken.subList(0, evidence.wanted())) {
            upstreams.probe(
                    UpstreamRoute.direct(Address.parse(other.address())),
                    failure -> {
                        boolean decidedBefore = evidence.verdict().isPresent();
                        evidence.record(failure.isEmpty());
                        if (!decidedBefore) {
                            evidence.verdict().ifPresent(result);
                        }
                    });
        }
    }

    /** Returns the other upstreams of the same service, or of all services if there is none. */
    private List<Instance> othersLike(Instance failed) {
        List<Instance> all =
                dispatcher.instances().stream()
                        .filter(one -> !one.id().equals(failed.id()))
                        .toList();
        List<Instance> same =
                all.stream().filter(one -> one.service().equals(failed.service())).toList();
        return same.isEmpty() ? all : same;
    }
}
