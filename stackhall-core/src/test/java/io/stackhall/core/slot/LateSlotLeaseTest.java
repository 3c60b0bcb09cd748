package io.stackhall.core.slot;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a lease allows that arrives after its host has told the leader something else. */
class LateSlotLeaseTest {

    private static final UpstreamId UPSTREAM = new UpstreamId("i-1");
    private static final HostId FIRST = new HostId("host-1");
    private static final HostId SECOND = new HostId("host-2");
    private static final int SLOTS = 6;

    /** More than the interval at which a host tells of its queue. */
    private static final long STEP = Duration.ofMillis(30).toNanos();

    private final SlotManager manager = new SlotManager();
    private final BrittleUpstreams first = host(FIRST);
    private final BrittleUpstreams second = host(SECOND);
    private long now = Duration.ofSeconds(10).toNanos();

    /** Both hosts would fill all slots, and the upstream falls over. */
    @Test
    void leaseThatWasGivenUpMeanwhileIsUsed() {
        List<SlotLease> late = manager.request(ask(first, SLOTS), now);
        manager.request(ask(first, 0), now);
        manager.request(ask(second, SLOTS), now).forEach(lease -> second.receive(lease, now));
        SlotRequest again = ask(first, SLOTS);
        late.forEach(lease -> first.receive(lease, now));
        assertThat(second.allows(UPSTREAM, now)).isTrue();
        assertThat(first.allows(UPSTREAM, now)).isFalse();
        ask(second, 0);
        manager.request(again, now).forEach(lease -> first.receive(lease, now));
        assertThat(first.allows(UPSTREAM, now)).isFalse();
    }

    /** With a slow leader every lease is late, and no slot would ever be used. */
    @Test
    void lateLeaseIsIgnoredThoughItIsWantedStill() {
        List<SlotLease> late = manager.request(ask(first, SLOTS), now);
        ask(first, SLOTS - 1);
        late.forEach(lease -> first.receive(lease, now));
        assertThat(first.allows(UPSTREAM, now)).isTrue();
    }

    /** Leases of two leaders may overtake each other. */
    @Test
    void olderLeaseReplacesANewerOne() {
        List<SlotLease> late = manager.request(ask(first, SLOTS), now);
        manager.request(ask(second, SLOTS), now);
        manager.request(ask(first, 0), now);
        manager.request(ask(first, SLOTS), now).forEach(lease -> first.receive(lease, now));
        late.forEach(lease -> first.receive(lease, now));
        assertThat(first.allows(UPSTREAM, now)).isFalse();
    }

    /** Has a host tell the leader how many requests wait. */
    private SlotRequest ask(BrittleUpstreams host, int waiting) {
        now += STEP;
        host.resetWaiting();
        for (int i = 0; i < waiting; i++) {
            host.await(UPSTREAM, now);
        }
        return host.dueRequests(now).getFirst();
    }

    private static BrittleUpstreams host(HostId id) {
        BrittleUpstreams host = new BrittleUpstreams(id);
        host.add(UPSTREAM, new ServiceName("plain"), SLOTS);
        host.heard(UPSTREAM, true, 0);
        return host;
    }
}
