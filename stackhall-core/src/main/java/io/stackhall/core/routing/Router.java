package io.stackhall.core.routing;

import io.stackhall.core.config.Configuration;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Announcement;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses an upstream for a request.
 *
 * <p>Only upstreams that hold the model are candidates. One that reports the request's prefix in
 * its cache is preferred while it is not much busier. Otherwise two are drawn at random and the one
 * with the shorter expected wait is taken, so that many entry hosts with the same outdated reports
 * do not all choose the same one.
 *
 * <p>Hosts of other zones are candidates if this zone cannot serve a request: those whose zone
 * holds the model, or any with engines if this zone has none left to load it.
 *
 * @see io.stackhall.core.membership.Neighbours
 */
public final class Router {

    private static final double AFFINITY_TOLERANCE = 0.5;

    private final RandomGenerator random;
    private final TargetIndex ownZone;
    private final TargetIndex otherZones;
    private Configuration configuration = Configuration.initial();

    /** Creates a router that knows no upstream. */
    public Router(RoutingSettings settings, RandomGenerator random) {
        this.random = random;
        this.ownZone = new TargetIndex(settings);
        this.otherZones = new TargetIndex(settings);
    }

    /** Updates an upstream of this zone from its latest announcement. */
    public void announced(Announcement announcement, long now) {
        ownZone.announced(announcement, now).draining(isDraining(announcement.id()));
    }

    /** Removes an upstream of this zone that has not announced itself for too long. */
    public void lost(UpstreamId upstream) {
        ownZone.lost(upstream);
    }

    /** Updates another zone's host from its latest announcement. */
    public void neighbourAnnounced(Announcement announcement, long now) {
        otherZones.announced(announcement, now);
    }

    /** Removes another zone's host that has not announced itself for too long. */
    public void neighbourLost(UpstreamId neighbour) {
        otherZones.lost(neighbour);
    }

    /** Applies a configuration. */
    public void configured(Configuration next) {
        configuration = next;
        ownZone.all().forEach(state -> state.draining(isDraining(state.id())));
    }

    /** Returns whether an upstream that accepts new requests could serve a request. */
    public boolean reachable(RoutingRequest request, long now) {
        return anyTakes(candidates(request, now), request, now);
    }

    /** Returns the number of slots of the upstreams that could serve a request. */
    public int slots(RoutingRequest request, long now) {
        int sum = 0;
        for (UpstreamState state : candidates(request, now)) {
            if (state.takesNewWork(now)) {
                sum += state.report().load().slots();
            }
        }
        return sum;
    }

    /** Chooses an upstream below its limit for a request; empty if there is none. */
    public Optional<UpstreamId> choose(RoutingRequest request, long now) {
        List<UpstreamState> candidates = candidates(request, now);
        int count = candidates.size();
        if (count == 0) {
            return Optional.empty();
        }
        UpstreamState first = draw(candidates, random.nextInt(count), request, now);
        if (first == null) {
            return Optional.empty();
        }
        UpstreamState second = draw(candidates, random.nextInt(count), request, now);
        UpstreamState best = second.relativeLoad() < first.relativeLoad() ? second : first;
        if (request.prefix() != 0) {
            best = preferCached(candidates, best, request, now);
        }
        return Optional.of(best.id());
    }

    /** Records that a request was sent to an upstream. */
    public void sent(UpstreamId upstream) {
        find(upstream).ifPresent(UpstreamState::sent);
    }

    /** Records the end of a request on an upstream. */
    public void ended(UpstreamId upstream, AttemptResult ending, long now) {
        find(upstream).ifPresent(state -> state.ended(ending, now));
    }

    /** Returns an upstream's latest announcement. */
    public Optional<Announcement> announcement(UpstreamId upstream) {
        return find(upstream).map(UpstreamState::report);
    }

    private Optional<UpstreamState> find(UpstreamId upstream) {
        return ownZone.find(upstream).or(() -> otherZones.find(upstream));
    }

    private boolean isDraining(UpstreamId upstream) {
        return configuration.draining().contains(upstream);
    }

    private List<UpstreamState> candidates(RoutingRequest request, long now) {
        List<UpstreamState> here = ownZone.upstreamsFor(request.target());
        if (request.reach() == Reach.ZONE || anyTakes(here, request, now)) {
            return here;
        }
        List<UpstreamState> there = otherZones.upstreamsFor(request.target());
        if (anyTakes(there, request, now)) {
            return there;
        }
        boolean loadable = request.target() instanceof Target.Model;
        return loadable && !ownZone.hasEngine(now) ? otherZones.engines(now) : here;
    }

    private static boolean anyTakes(List<UpstreamState> states, RoutingRequest request, long now) {
        for (UpstreamState state : states) {
            if (takes(state, request, now)) {
                return true;
            }
        }
        return false;
    }

    private static boolean takes(UpstreamState state, RoutingRequest request, long now) {
        return state.takesNewWork(now) && !request.avoided().contains(state.id());
    }

    /** Returns the first usable candidate from a start index on, or null. */
    private static UpstreamState draw(
            List<UpstreamState> candidates, int start, RoutingRequest request, long now) {
        int count = candidates.size();
        for (int step = 0; step < count; step++) {
            UpstreamState state = candidates.get((start + step) % count);
            if (usable(state, request, now)) {
                return state;
            }
        }
        return null;
    }

    private static UpstreamState preferCached(
            List<UpstreamState> candidates,
            UpstreamState otherwise,
            RoutingRequest request,
            long now) {
        double bound = otherwise.relativeLoad() + AFFINITY_TOLERANCE;
        for (UpstreamState state : candidates) {
            if (state.report().cachedPrefixes().contains(request.prefix())
                    && state.relativeLoad() <= bound
                    && usable(state, request, now)) {
                return state;
            }
        }
        return otherwise;
    }

    private static boolean usable(UpstreamState state, RoutingRequest request, long now) {
        return takes(state, request, now) && state.hasRoom(request.priority(), now);
    }
}
