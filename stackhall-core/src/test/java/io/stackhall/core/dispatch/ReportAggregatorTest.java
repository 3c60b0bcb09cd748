package io.stackhall.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Reports of many hosts, passed on as one. */
class ReportAggregatorTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final UpstreamId ENGINE = new UpstreamId("e");

    private final ReportAggregator sum = new ReportAggregator();

    @Test
    void latestCountOfEachHostStands() {
        sum.addWork(new HostId("a"), Map.of(ENGINE, new InstanceWork(3, 0, 0)), 0);
        sum.addWork(new HostId("a"), Map.of(ENGINE, new InstanceWork(2, 0, 0)), 1);
        sum.addWork(new HostId("b"), Map.of(ENGINE, new InstanceWork(5, 0, 0)), 1);
        assertThat(sum.takeWork(2)).containsEntry(ENGINE, new InstanceWork(7, 0, 0));
        assertThat(sum.takeWork(3)).containsEntry(ENGINE, new InstanceWork(7, 0, 0));
    }

    @Test
    void hostThatIsSilentNoLongerCounts() {
        sum.addWork(new HostId("a"), Map.of(ENGINE, new InstanceWork(3, 0, 0)), 0);
        sum.addDemand(new HostId("a"), Map.of("m", new ReportAggregator.Demand(1, 4)), 0);
        sum.takeDemand(0);
        assertThat(sum.takeWork(2 * SECOND)).isEmpty();
        assertThat(sum.takeDemand(2 * SECOND)).isEmpty();
    }

    @Test
    void whatWaitsIsToldUntilItWaitsNoMore() {
        HostId host = new HostId("a");
        sum.addDemand(host, Map.of("m", new ReportAggregator.Demand(2, 4)), 0);
        assertThat(sum.takeDemand(1)).containsEntry("m", new ReportAggregator.Demand(2, 4));
        assertThat(sum.takeDemand(2)).containsEntry("m", new ReportAggregator.Demand(0, 4));
        sum.addDemand(host, Map.of(), 3);
        assertThat(sum.takeDemand(4)).isEmpty();
    }

    @Property(tries = 200)
    void everyArrivalAndAnswerIsPassedOnOnce(@ForAll long seed) {
        Random random = new Random(seed);
        ReportAggregator relay = new ReportAggregator();
        int arrived = 0;
        int answered = 0;
        int toldArrived = 0;
        int toldAnswered = 0;
        for (int step = 0; step < 30; step++) {
            HostId host = new HostId("h" + random.nextInt(4));
            int arrivals = random.nextInt(5);
            int answers = random.nextInt(5);
            arrived += arrivals;
            answered += answers;
            relay.addDemand(
                    host,
                    Map.of("m", new ReportAggregator.Demand(arrivals, random.nextInt(3))),
                    step);
            relay.addWork(
                    host, Map.of(ENGINE, new InstanceWork(random.nextInt(3), answers, 0)), step);
            if (random.nextInt(3) == 0 || step == 29) {
                Map<String, ReportAggregator.Demand> asked = new HashMap<>(relay.takeDemand(step));
                toldArrived +=
                        asked.getOrDefault("m", new ReportAggregator.Demand(0, 0)).arrivals();
                Map<UpstreamId, InstanceWork> work = relay.takeWork(step);
                toldAnswered += work.getOrDefault(ENGINE, new InstanceWork(0, 0, 0)).answered();
            }
        }
        assertThat(toldArrived).isEqualTo(arrived);
        assertThat(toldAnswered).isEqualTo(answered);
    }
}
