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

/** Tests the aggregation of the reports of many hosts into one. */
class ReportAggregatorTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final UpstreamId ENGINE = new UpstreamId("e");

    private final ReportAggregator aggregator = new ReportAggregator();

    @Test
    void latestCountOfEachHostCounts() {
        aggregator.addWork(new HostId("a"), Map.of(ENGINE, new InstanceWork(3, 0, 0)), 0);
        aggregator.addWork(new HostId("a"), Map.of(ENGINE, new InstanceWork(2, 0, 0)), 1);
        aggregator.addWork(new HostId("b"), Map.of(ENGINE, new InstanceWork(5, 0, 0)), 1);
        assertThat(aggregator.takeWork(2)).containsEntry(ENGINE, new InstanceWork(7, 0, 0));
        assertThat(aggregator.takeWork(3)).containsEntry(ENGINE, new InstanceWork(7, 0, 0));
    }

    @Test
    void silentHostExpires() {
        aggregator.addWork(new HostId("a"), Map.of(ENGINE, new InstanceWork(3, 0, 0)), 0);
        aggregator.addDemand(new HostId("a"), Map.of("m", new ReportAggregator.Demand(1, 4)), 0);
        aggregator.takeDemand(0);
        assertThat(aggregator.takeWork(2 * SECOND)).isEmpty();
        assertThat(aggregator.takeDemand(2 * SECOND)).isEmpty();
    }

    @Test
    void waitingRequestsAreReportedWhileTheyWait() {
        HostId host = new HostId("a");
        aggregator.addDemand(host, Map.of("m", new ReportAggregator.Demand(2, 4)), 0);
        assertThat(aggregator.takeDemand(1)).containsEntry("m", new ReportAggregator.Demand(2, 4));
        assertThat(aggregator.takeDemand(2)).containsEntry("m", new ReportAggregator.Demand(0, 4));
        aggregator.addDemand(host, Map.of(), 3);
        assertThat(aggregator.takeDemand(4)).isEmpty();
    }

    @Property(tries = 200)
    void everyArrivalAndAnswerIsPassedOnOnce(@ForAll long seed) {
        Random random = new Random(seed);
        ReportAggregator relay = new ReportAggregator();
        int arrived = 0;
        int answered = 0;
        int reportedArrivals = 0;
        int reportedAnswers = 0;
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
                Map<String, ReportAggregator.Demand> demand = new HashMap<>(relay.takeDemand(step));
                reportedArrivals +=
                        demand.getOrDefault("m", new ReportAggregator.Demand(0, 0)).arrivals();
                Map<UpstreamId, InstanceWork> work = relay.takeWork(step);
                reportedAnswers += work.getOrDefault(ENGINE, new InstanceWork(0, 0, 0)).answered();
            }
        }
        assertThat(reportedArrivals).isEqualTo(arrived);
        assertThat(reportedAnswers).isEqualTo(answered);
    }
}
