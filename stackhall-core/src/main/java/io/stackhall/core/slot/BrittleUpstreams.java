package io.stackhall.core.slot;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.limit.PermitWaits;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The upstreams of one host that fall over if they have to refuse many requests, and the slots that
 * the host has leased there. Decides whether the host may send such an upstream a request now.
 *
 * <p>An upstream that has just started is taken for brittle while others of its service are: after
 * a fall all hosts would send it requests at once before its first answer says so.
 *
 * <p>Times named {@code now} are on the monotonic clock, in nanoseconds. Not thread-safe: used by
 * one thread.
 */
public final class BrittleUpstreams {

    /** How long a service is remembered as brittle after one of its upstreams has said so. */
    private static final long SERVICE_MEMORY_NANOS = Duration.ofSeconds(5).toNanos();

    /** Interval at which leases are renewed, several times in the duration of a lease. */
    private static final long RENEWAL_NANOS = Duration.ofMillis(300).toNanos();

    /**
     * Interval at which the end of requests is told. Each answer may change what a host wants, so
     * that without it hosts and leader would answer each other without end.
     */
    public static final Duration MIN_INTERVAL = Duration.ofMillis(5);

    /** Interval at which a changed number of waiting requests is told. */
    private static final long QUEUE_INTERVAL_NANOS = Duration.ofMillis(25).toNanos();

    /**
     * Without an answer for this long, a host uses its equal share: by then a new leader has
     * usually been elected.
     */
    private static final long AUTONOMOUS_AFTER_NANOS = Duration.ofMillis(2200).toNanos();

    /** Weight of the latest sample in the mean time between two requests. */
    private static final double INTERVAL_WEIGHT = 0.2;

    private final HostId self;
    private final Map<UpstreamId, Upstream> upstreams = new HashMap<>();
    private final Map<ServiceName, Long> brittleServices = new HashMap<>();
    private int hosts = 1;

    /** What is known of one upstream. */
    private static final class Upstream {
        private final ServiceName service;
        private int slots;
        private boolean heard;
        private boolean brittle;
        private int inFlight;
        private int waiting;
        private int quota;
        private long leasedUntil;
        private final ToldDemand told = new ToldDemand();
        private long requestedAt;
        private long answeredRequest;
        private int toldInFlight;
        private int toldWaiting;
        private long demandSince;
        private long answeredAt;
        private long sentAt;
        private double intervalNanos;

        private Upstream(ServiceName service) {
            this.service = service;
        }

        private int wanted() {
            return inFlight + waiting;
        }
    }

    /** Creates the state of a host that knows no upstreams. */
    public BrittleUpstreams(HostId self) {
        this.self = self;
    }

    /** Sets how many hosts share the upstreams. */
    public void setHostCount(int count) {
        hosts = Math.max(1, count);
    }

    /** Adds an upstream, or updates the number of requests that it runs at a time. */
    public void add(UpstreamId id, ServiceName service, int slots) {
        upstreams.computeIfAbsent(id, key -> new Upstream(service)).slots = slots;
    }

    /** Removes an upstream that is gone. */
    public void forget(UpstreamId id) {
        upstreams.remove(id);
    }

    /**
     * Records what an answer says.
     *
     * @param brittle whether the upstream says that it is brittle
     * @return whether that is news
     */
    public boolean heard(UpstreamId id, boolean brittle, long now) {
        Upstream upstream = upstreams.get(id);
        if (upstream == null) {
            return false;
        }
        boolean news = upstream.brittle != brittle;
        upstream.heard = true;
        upstream.brittle = brittle;
        if (brittle) {
            brittleServices.put(upstream.service, now);
        }
        return news;
    }

    /** Returns whether an upstream falls over if it has to refuse many requests. */
    public boolean isBrittle(UpstreamId id, long now) {
        Upstream upstream = upstreams.get(id);
        return upstream != null && isBrittle(upstream, now);
    }

    private boolean isBrittle(Upstream upstream, long now) {
        if (upstream.slots == 0) {
            // It has not told how many there are to lease.
            return false;
        }
        if (upstream.heard) {
            return upstream.brittle;
        }
        Long since = brittleServices.get(upstream.service);
        return since != null && now - since < SERVICE_MEMORY_NANOS;
    }

    /** Returns whether this host may send an upstream a request now. */
    public boolean allows(UpstreamId id, long now) {
        Upstream upstream = upstreams.get(id);
        return upstream == null
                || !isBrittle(upstream, now)
                || upstream.inFlight < usableQuota(upstream, now);
    }

    private int usableQuota(Upstream upstream, long now) {
        if (now - upstream.leasedUntil < 0) {
            return upstream.quota;
        }
        long silentSince = Math.max(upstream.answeredAt, upstream.demandSince);
        boolean autonomous =
                upstream.demandSince != 0 && now - silentSince >= AUTONOMOUS_AFTER_NANOS;
        return autonomous ? Math.max(1, upstream.slots / hosts) : 0;
    }

    /** Records that a request is sent to an upstream. */
    public void sent(UpstreamId id, long now) {
        Upstream upstream = upstreams.get(id);
        if (upstream == null) {
            return;
        }
        if (upstream.inFlight > 0) {
            double sample = now - upstream.sentAt;
            upstream.intervalNanos += (sample - upstream.intervalNanos) * INTERVAL_WEIGHT;
        }
        upstream.sentAt = now;
        upstream.inFlight++;
        upstream.waiting = Math.max(0, upstream.waiting - 1);
    }

    /** Records that a request has left an upstream. */
    public void ended(UpstreamId id) {
        Upstream upstream = upstreams.get(id);
        if (upstream != null) {
            upstream.inFlight = Math.max(0, upstream.inFlight - 1);
        }
    }

    /** Resets the number of waiting requests, before each of them calls {@link #await} again. */
    public void resetWaiting() {
        upstreams.values().forEach(upstream -> upstream.waiting = 0);
    }

    /**
     * Records a request that waits for a slot of an upstream.
     *
     * @return the expected waits of this host's requests
     */
    public PermitWaits await(UpstreamId id, long now) {
        Upstream upstream = upstreams.get(id);
        if (upstream == null) {
            return PermitWaits.unknown();
        }
        upstream.waiting++;
        upstream.demandSince = upstream.demandSince == 0 ? now : upstream.demandSince;
        long others =
                upstreams.values().stream()
                        .filter(one -> one.service.equals(upstream.service) && isBrittle(one, now))
                        .count();
        Duration each = Duration.ofNanos(Math.round(upstream.intervalNanos / Math.max(1, others)));
        return new PermitWaits(List.of(), each, each);
    }

    /** Returns what to tell the leader now. */
    public List<SlotRequest> dueRequests(long now) {
        List<SlotRequest> due = new ArrayList<>();
        upstreams.forEach(
                (id, upstream) -> {
                    if (isDue(upstream, now)) {
                        due.add(request(id, upstream, now));
                    }
                });
        return due;
    }

    private boolean isDue(Upstream upstream, long now) {
        if (upstream.wanted() == 0) {
            upstream.demandSince = 0;
        }
        if (!isBrittle(upstream, now)) {
            return false;
        }
        long since = now - upstream.requestedAt;
        boolean first = upstream.toldInFlight + upstream.toldWaiting == 0;
        boolean left = upstream.inFlight != upstream.toldInFlight;
        boolean queueChanged = upstream.waiting != upstream.toldWaiting;
        boolean soon = left || (first && queueChanged);
        return (soon && since >= MIN_INTERVAL.toNanos())
                || (queueChanged && since >= QUEUE_INTERVAL_NANOS)
                || (upstream.wanted() > 0 && since >= RENEWAL_NANOS);
    }

    /** What is told is given up beyond what is wanted, so that both sides know the same. */
    private SlotRequest request(UpstreamId id, Upstream upstream, long now) {
        upstream.toldInFlight = upstream.inFlight;
        upstream.toldWaiting = upstream.waiting;
        upstream.quota = Math.min(upstream.quota, upstream.wanted());
        upstream.requestedAt = now;
        upstream.told.record(upstream.wanted(), now);
        return new SlotRequest(self, id, upstream.slots, upstream.inFlight, upstream.waiting, now);
    }

    /**
     * Applies a lease of the leader, unless a later message has been answered already, and returns
     * whether it allows a request to be sent.
     */
    public boolean receive(SlotLease lease, long now) {
        Upstream upstream = upstreams.get(lease.upstream());
        if (upstream == null || lease.requestedAt() - upstream.answeredRequest < 0) {
            return false;
        }
        upstream.answeredRequest = lease.requestedAt();
        upstream.quota = Math.min(lease.quota(), upstream.told.leastSince(lease.requestedAt()));
        upstream.leasedUntil = lease.requestedAt() + SlotManager.LEASE.toNanos();
        upstream.answeredAt = now;
        return allows(lease.upstream(), now);
    }

    /** Returns the number of brittle upstreams. */
    public int count(long now) {
        return (int) upstreams.values().stream().filter(one -> isBrittle(one, now)).count();
    }
}
