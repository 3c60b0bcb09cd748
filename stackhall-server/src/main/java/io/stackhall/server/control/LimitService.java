package io.stackhall.server.control;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.limit.LimitManager;
import io.stackhall.core.limit.LimitObservation;
import io.stackhall.core.limit.LimitRevision;
import io.stackhall.core.limit.LimitUpdate;
import io.stackhall.core.limit.PermitAnswer;
import io.stackhall.core.limit.PermitRequest;
import io.stackhall.rpc.generated.fleet.LimitHeard;
import io.stackhall.rpc.generated.fleet.LimitWords;
import io.stackhall.rpc.generated.fleet.PermitAsk;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.LimitCodec;
import io.stackhall.server.json.Json;
import io.stackhall.server.peer.Replier;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Tracks on a control host the rate limits that upstreams announce, and grants permits to send to
 * them while this host leads the control group. Confined to one event loop.
 */
final class LimitService {

    private static final Logger logger = LogManager.getLogger(LimitService.class);

    /** The longest additional delay of a request that waits for a permit of an upstream. */
    private static final long GRANT_INTERVAL_MILLIS = 20;

    private final ControlGroup group;
    private final FleetRegistry fleet;
    private final HostId self;
    private final LimitManager manager = new LimitManager();
    private final Map<HostId, Replier> permitRepliers = new HashMap<>();
    private boolean leading;
    private boolean grantScheduled;

    /** A limit in force, as listed for an operator. */
    private record Listed(String upstream, double perSecond, boolean ending) {
        static Listed of(LimitUpdate update) {
            return new Listed(
                    update.upstream().toString(),
                    update.perSecond().orElseThrow(),
                    update.ending());
        }
    }

    /** All limits in force, and the upstreams that are draining. */
    private record Listing(List<Listed> limits, List<String> leaving) {}

    LimitService(ControlGroup group, FleetRegistry fleet, HostId self) {
        this.group = group;
        this.fleet = fleet;
        this.self = self;
    }

    /** Sets whether this host leads the control group. */
    void setLeading(boolean leads) {
        leading = leads;
        permitRepliers.clear();
        if (leads) {
            manager.lead(group.view().term(), BootClock.nanos());
            scheduleGrant();
        }
    }

    private boolean leads() {
        return leading && group.leads();
    }

    /** Records that an entry host has reported to this control host. */
    void handleFollow(HostId host) {
        manager.hostReported(host, BootClock.nanos());
    }

    /** Applies updates from the leader, and forwards newer ones to entry hosts. */
    void receive(LimitWords updates) {
        List<LimitUpdate> newer =
                LimitCodec.updates(updates).stream().filter(manager::receive).toList();
        if (!newer.isEmpty()) {
            log(newer, "");
            fleet.sendToEntryHosts(LimitCodec.updates(newer));
        }
    }

    /**
     * Processes what an entry host has observed in an answer of an upstream, if this host leads.
     */
    void handleObservation(LimitHeard message) {
        if (leads()) {
            publish(
                    manager.observe(LimitCodec.observation(message), BootClock.nanos()),
                    message.getHost());
        }
    }

    /**
     * Processes a limit that an upstream has announced to this host itself. A limit stays in force
     * even if answers to a control host's calls do not name it.
     *
     * @param basis the revision of the limit when the call was sent
     */
    void observeLocally(UpstreamId upstream, double perSecond, LimitRevision basis) {
        if (leads()) {
            LimitObservation observation =
                    new LimitObservation(upstream, OptionalDouble.of(perSecond), basis);
            publish(manager.observe(observation, BootClock.nanos()), self.value());
        }
    }

    /** Returns the revision of an upstream's limit that this host knows. */
    LimitRevision revision(UpstreamId upstream) {
        return manager.table().find(upstream).revision();
    }

    /** Processes the permit request of an entry host, if this host leads. */
    void handlePermitRequest(PermitAsk message, Replier replier) {
        if (!leads()) {
            return;
        }
        LimitUpdate known = LimitCodec.knownLimit(message);
        if (manager.receive(known)) {
            publish(List.of(known), message.getHost());
        }
        PermitRequest request = LimitCodec.request(message);
        permitRepliers.put(request.host(), replier);
        answer(manager.request(request, BootClock.nanos()));
        scheduleGrant();
    }

    /** Repeats grants while there are limits; without any, no timer wakes this host. */
    private void scheduleGrant() {
        if (!grantScheduled && leads() && !manager.table().inForce().isEmpty()) {
            grantScheduled = true;
            fleet.loop()
                    .schedule(
                            this::grantAndReschedule, GRANT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void grantAndReschedule() {
        grantScheduled = false;
        try {
            grant();
        } finally {
            scheduleGrant();
        }
    }

    /** Grants the permits that are available, and drops limits that have ended. */
    private void grant() {
        if (leads()) {
            LimitManager.Decisions decisions = manager.advance(BootClock.nanos());
            publish(decisions.updates(), "");
            answer(decisions.answers());
        }
    }

    /** Removes the limits of upstreams that are gone. */
    void sweep() {
        if (!manager.table().all().isEmpty()) {
            manager.retain(
                    fleet.instances().stream().map(Instance::id).collect(Collectors.toSet()));
        }
    }

    /** Returns all known limits, for a host that may have received none yet. */
    Frame fullUpdate() {
        return LimitCodec.updates(manager.table().all());
    }

    /** Returns the upstreams that have a limit. */
    Set<UpstreamId> limitedUpstreams() {
        return manager.table().inForce().stream()
                .map(LimitUpdate::upstream)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the limits in force, and the upstreams that are draining, as JSON for an operator.
     */
    byte[] limitsJson() {
        List<Listed> all = manager.table().inForce().stream().map(Listed::of).toList();
        List<String> leaving =
                fleet.instances().stream()
                        .filter(instance -> instance.state() == InstanceState.DRAINING)
                        .map(instance -> instance.id().toString())
                        .toList();
        return Json.write(Listing.class, new Listing(all, leaving));
    }

    private void publish(List<LimitUpdate> updates, String reporter) {
        if (!updates.isEmpty()) {
            log(updates, reporter);
            fleet.broadcast(LimitCodec.updates(updates));
            scheduleGrant();
        }
    }

    private static void log(List<LimitUpdate> updates, String reporter) {
        for (LimitUpdate update : updates) {
            logger.info("upstream.limit-told {} by={}", update.fields(), reporter);
        }
    }

    private void answer(List<PermitAnswer> answers) {
        for (PermitAnswer answer : answers) {
            Replier replier = permitRepliers.get(answer.host());
            if (replier != null) {
                replier.send(LimitCodec.answer(answer, self));
            }
        }
    }
}
