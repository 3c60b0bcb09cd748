package io.stackhall.core.dispatch;

import static io.stackhall.core.fleet.Instances.SERVICE;
import static io.stackhall.core.fleet.Instances.instance;
import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.backpressure.Backpressure;
import io.stackhall.core.backpressure.RestingUpstreams;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceTable;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.limit.LimitRevision;
import io.stackhall.core.limit.LimitUpdate;
import io.stackhall.core.limit.LimitedUpstreams;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Random sequences of rests, limits and drains at one host, with notices that arrive late or out of
 * order.
 */
class BackpressureProperties {

    private static final int STEPS = 400;
    private static final long LONGEST_PAUSE_MILLIS = 60;

    @Property(tries = 300)
    void neitherRestingNorDrainingInstancesGetRequestsAndFreeOnesAreUsed(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int instances) {
        new Scenario(seed, instances).run();
    }

    /** One host, and what upstreams have asked of it. */
    private static final class Scenario {
        private final Random random;
        private final LimitedUpstreams limits;
        private final Dispatcher dispatcher;
        private final InstanceTable table = new InstanceTable(Duration.ofDays(1));
        private final List<UpstreamId> ids;
        private final Map<UpstreamId, Long> restEnds = new HashMap<>();
        private final Set<UpstreamId> limited = new HashSet<>();
        private final Set<UpstreamId> draining = new HashSet<>();
        private long now = Duration.ofSeconds(100).toNanos();
        private long sequence;
        private long revisions;

        Scenario(long seed, int instances) {
            random = new Random(seed);
            limits = new LimitedUpstreams(new HostId("entry-1"), random);
            dispatcher =
                    new Dispatcher(
                            new ZoneId("plateau"),
                            new Backpressure(limits, new RestingUpstreams(random)),
                            random);
            ids =
                    IntStream.range(0, instances)
                            .mapToObj(number -> new UpstreamId("u" + number))
                            .toList();
            ids.forEach(this::heartbeat);
        }

        void run() {
            for (int step = 0; step < STEPS; step++) {
                now += Duration.ofMillis(random.nextLong(LONGEST_PAUSE_MILLIS)).toNanos();
                UpstreamId id = ids.get(random.nextInt(ids.size()));
                switch (random.nextInt(12)) {
                    case 0 -> heartbeat(id);
                    case 1 -> drain(id);
                    case 2 -> limit(id);
                    default -> request();
                }
            }
        }

        private void heartbeat(UpstreamId id) {
            Instance report = instance(id.value(), ++sequence, "m");
            table.merge(report, now).forEach(dispatcher::updateInstance);
        }

        private void drain(UpstreamId id) {
            if (random.nextInt(8) == 0) {
                draining.add(id);
                table.drain(id).forEach(dispatcher::updateInstance);
            }
        }

        private void limit(UpstreamId id) {
            boolean limitSet = random.nextBoolean();
            OptionalDouble limit = limitSet ? OptionalDouble.of(0.5) : OptionalDouble.empty();
            if (limits.receive(
                    new LimitUpdate(id, limit, false, new LimitRevision(1, ++revisions)))) {
                limited.remove(id);
                if (limitSet) {
                    limited.add(id);
                }
            }
        }

        private void request() {
            Need need = new Need(SERVICE, Optional.empty(), Optional.empty(), List.of(), 0, 0, 1);
            Choice choice = dispatcher.choose(need, id -> true, Duration.ofMillis(400), now);
            if (choice instanceof Choice.Send send) {
                sent(send.instance().id(), need);
            } else {
                assertThat(ids)
                        .as("no unrestricted instance, but %s", choice)
                        .noneMatch(this::isFree);
            }
        }

        private void sent(UpstreamId id, Need need) {
            assertThat(draining).doesNotContain(id);
            assertThat(restEnds.getOrDefault(id, now)).isLessThanOrEqualTo(now);
            InFlightRequest sending = dispatcher.requestSent(id, need, now);
            if (random.nextInt(3) == 0) {
                reject(sending);
            } else {
                dispatcher.responseStarted(sending, now);
            }
            dispatcher.requestEnded(sending, now);
        }

        private void reject(InFlightRequest sending) {
            UpstreamId id = sending.instance();
            dispatcher.errorResponseStarted(sending, false);
            Duration rest = Duration.ofMillis(random.nextLong(3000));
            dispatcher.recordRest(id, rest, now);
            restEnds.merge(id, now + rest.toNanos(), Math::max);
        }

        /** Returns whether an instance has never asked for anything, and so accepts requests. */
        private boolean isFree(UpstreamId id) {
            return !draining.contains(id) && !limited.contains(id) && !restEnds.containsKey(id);
        }
    }
}
