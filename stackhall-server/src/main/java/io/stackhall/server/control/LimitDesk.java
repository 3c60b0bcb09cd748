package io.stackhall.server.control;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.limit.LimitManager;
import io.stackhall.core.limit.LimitObservation;
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
 * Keeps the limits that upstreams name on a control host, and grants permits while it leads. Used
 * on one event loop.
 */
final class LimitDesk {

    private static final Logger logger = LogManager.getLogger(LimitDesk.class);

    /** A request that waits for a permit of an upstream is sent this much later at most. */
    private static final long GRANT_MILLIS = 20;

    private final ControlGroup group;
    private final FleetKeeper fleet;
    private final HostId self;
    private final LimitManager keeper = new LimitManager();
    private final Map<HostId, Replier> asking = new HashMap<>();
    private boolean leading;
    private boolean granting;

    /** A limit in force, as an operator is told. */
    private record Listed(String upstream, double perSecond, boolean ending) {
        static Listed of(LimitUpdate word) {
            return new Listed(
                    word.upstream().toString(), word.perSecond().orElseThrow(), word.ending());
        }
    }

    /** All limits in force, and the upstreams that leave. */
    private record Listing(List<Listed> limits, List<String> leaving) {}

    LimitDesk(ControlGroup group, FleetKeeper fleet, HostId self) {
        this.group = group;
        this.fleet = fleet;
        this.self = self;
    }

    /** Takes in whether this host leads the control group from now on. */
    void led(boolean leads) {
        leading = leads;
        asking.clear();
        if (leads) {
            keeper.lead(group.view().term(), BootClock.nanos());
            keepGranting();
        }
    }

    private boolean leads() {
        return leading && group.leads();
    }

    /** Takes in that an entry host has reported. */
    void followed(HostId host) {
        keeper.hostReported(host, BootClock.nanos());
    }

    /** Takes in what whoever leads says, and passes on what is news. */
    void told(LimitWords words) {
        List<LimitUpdate> news =
                LimitCodec.updates(words).stream().filter(keeper::receive).toList();
        if (!news.isEmpty()) {
            log(news, "");
            fleet.passOn(LimitCodec.updates(news));
        }
    }

    /** Takes in what an upstream has told an entry host. */
    void heard(LimitHeard heard) {
        if (leads()) {
            tell(keeper.observe(LimitCodec.observation(heard), BootClock.nanos()), heard.getHost());
        }
    }

    /**
     * Takes in what an upstream has told this host itself. Answers to a control host's calls need
     * not name a limit for it to be in force.
     */
    void heardHere(UpstreamId upstream, double perSecond) {
        if (leads()) {
            LimitObservation heard =
                    new LimitObservation(
                            upstream,
                            OptionalDouble.of(perSecond),
                            keeper.table().find(upstream).revision());
            tell(keeper.observe(heard, BootClock.nanos()), self.value());
        }
    }

    /** Takes in what an entry host would send. */
    void asked(PermitAsk ask, Replier replier) {
        if (!leads()) {
            return;
        }
        LimitUpdate known = LimitCodec.knownLimit(ask);
        if (keeper.receive(known)) {
            tell(List.of(known), ask.getHost());
        }
        PermitRequest want = LimitCodec.request(ask);
        asking.put(want.host(), replier);
        answer(keeper.request(want, BootClock.nanos()));
        keepGranting();
    }

    /** Looks again and again while there are limits; without any, no timer wakes this host. */
    private void keepGranting() {
        if (!granting && leads() && !keeper.table().inForce().isEmpty()) {
            granting = true;
            fleet.loop().schedule(this::grantAgain, GRANT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void grantAgain() {
        granting = false;
        try {
            grant();
        } finally {
            keepGranting();
        }
    }

    /** Grants what there is room for, and lets limits that have ended go. */
    private void grant() {
        if (leads()) {
            LimitManager.Decisions step = keeper.advance(BootClock.nanos());
            tell(step.updates(), "");
            answer(step.answers());
        }
    }

    /** Forgets the limits of upstreams that are gone. */
    void sweep() {
        if (!keeper.table().all().isEmpty()) {
            keeper.retain(fleet.instances().stream().map(Instance::id).collect(Collectors.toSet()));
        }
    }

    /** Returns all that is known, for a host that may know nothing. */
    Frame whole() {
        return LimitCodec.updates(keeper.table().all());
    }

    /** Returns the upstreams that have a limit. */
    Set<UpstreamId> limited() {
        return keeper.table().inForce().stream()
                .map(LimitUpdate::upstream)
                .collect(Collectors.toSet());
    }

    /** Returns the limits in force, and which upstreams leave, as JSON for an operator. */
    byte[] listed() {
        List<Listed> all = keeper.table().inForce().stream().map(Listed::of).toList();
        List<String> leaving =
                fleet.instances().stream()
                        .filter(instance -> instance.state() == InstanceState.DRAINING)
                        .map(instance -> instance.id().toString())
                        .toList();
        return Json.write(Listing.class, new Listing(all, leaving));
    }

    private void tell(List<LimitUpdate> words, String by) {
        if (!words.isEmpty()) {
            log(words, by);
            fleet.tellOthers(LimitCodec.updates(words));
            keepGranting();
        }
    }

    private static void log(List<LimitUpdate> words, String by) {
        for (LimitUpdate word : words) {
            logger.info("upstream.limit-told {} by={}", word.fields(), by);
        }
    }

    private void answer(List<PermitAnswer> answers) {
        for (PermitAnswer answer : answers) {
            Replier replier = asking.get(answer.host());
            if (replier != null) {
                replier.send(LimitCodec.answer(answer, self));
            }
        }
    }
}
