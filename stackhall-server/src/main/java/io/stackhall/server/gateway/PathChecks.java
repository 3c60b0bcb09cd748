package io.stackhall.server.gateway;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.HostId;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.relay.CallFailure.Stage;
import java.util.List;
import java.util.Optional;

/**
 * Checks upstreams that are silent or break connections off, on a new connection of this host and
 * through other hosts at the same time: an upstream that answers another one is not slow, but out
 * of reach of this host. Used on one event loop.
 */
final class PathChecks {

    /** Several, as hosts that are cut off together do not know it at once. */
    private static final int MAX_OTHER_HOSTS = 3;

    private final HealthProbes probes;
    private final UpstreamPathMonitor paths;

    PathChecks(HealthProbes probes, UpstreamPathMonitor paths) {
        this.probes = probes;
        this.paths = paths;
    }

    /** Checks an upstream that owes answers, in all ways at once as requests wait for them. */
    void checkSilent(Instance instance) {
        new Check(instance).start();
    }

    /**
     * Checks an upstream that broke a connection off. Others are asked only if it does so again: a
     * connection that does not come up needs no second opinion.
     */
    void checkBrokenOff(Instance instance) {
        long startedAt = BootClock.nanos();
        probes.send(
                instance,
                Optional.empty(),
                failure -> {
                    if (failure.isEmpty()) {
                        paths.heard(instance.id(), startedAt);
                    } else if (isUnconnected(failure.get())) {
                        paths.failed(instance.id(), failure.get());
                    } else {
                        new Check(instance).startThroughOthers(failure.get());
                    }
                });
    }

    private static boolean isUnconnected(Stage stage) {
        return stage == Stage.REFUSED || stage == Stage.NO_CONNECTION;
    }

    private final class Check {
        private final Instance instance;
        private final List<HostId> others;
        private final long startedAt = BootClock.nanos();
        private Optional<Stage> ownFailure = Optional.empty();
        private boolean otherAnswered;
        private int pending;

        Check(Instance instance) {
            this.instance = instance;
            this.others = paths.tunnelHostsFor(instance.id(), MAX_OTHER_HOSTS);
        }

        void start() {
            pending = 1 + others.size();
            probes.send(instance, Optional.empty(), this::ownResult);
            askOthers();
        }

        void startThroughOthers(Stage own) {
            pending = 1 + others.size();
            askOthers();
            ownResult(Optional.of(own));
        }

        private void askOthers() {
            for (HostId host : others) {
                probes.send(instance, Optional.of(host), failure -> otherResult(host, failure));
            }
        }

        private void ownResult(Optional<Stage> failure) {
            ownFailure = failure;
            if (failure.isEmpty()) {
                paths.heard(instance.id(), startedAt);
            } else if (isUnconnected(failure.get())) {
                paths.failed(instance.id(), failure.get());
            }
            end();
        }

        private void otherResult(HostId host, Optional<Stage> failure) {
            if (failure.isEmpty()) {
                otherAnswered = true;
                paths.tunnelHostReaches(host, instance);
            } else {
                paths.tunnelFailed(host, instance, failure.get());
            }
            end();
        }

        private void end() {
            pending--;
            if (pending > 0 || ownFailure.isEmpty()) {
                return;
            }
            Stage own = ownFailure.get();
            if (otherAnswered) {
                if (!isUnconnected(own)) {
                    paths.mute(instance.id());
                }
                paths.lost(instance.id(), own);
            } else if (!isUnconnected(own)) {
                paths.silenceUnconfirmed(instance.id());
            }
        }
    }
}
