package io.stackhall.core.fleet;

import static io.stackhall.core.fleet.Instances.incarnation;
import static io.stackhall.core.fleet.Instances.instance;
import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests of the instance table under late, duplicated and reordered reports. */
class InstanceTableTest {

    private static final Duration SILENCE = Duration.ofSeconds(6);
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final InstanceTable table = new InstanceTable(SILENCE);

    @Test
    void endOfAnIncarnationThatIsReportedLateRemovesItAlone() {
        InstanceTable informed = new InstanceTable(SILENCE);
        Instance ended = incarnation("i-1", 100, 1);
        informed.merge(ended, 0);
        informed.remove(ended.id());
        InstanceTable outdated = new InstanceTable(SILENCE);
        outdated.merge(ended, 0);
        Instance next = incarnation("i-1", 200, 1);
        outdated.merge(next, 0);
        informed.gone().forEach(outdated::recordGone);
        assertThat(outdated.all()).containsExactly(next);
        assertThat(outdated.merge(ended, 0)).isEmpty();
    }

    @Test
    void lateReportChangesNothing() {
        table.merge(instance("a", 5, "new"), 0);
        assertThat(table.merge(instance("a", 4, "old"), 0)).isEmpty();
        assertThat(
                        table.find(new UpstreamId("a"))
                                .orElseThrow()
                                .models()
                                .getFirst()
                                .model()
                                .value())
                .isEqualTo("new");
    }

    @Test
    void drainingIsNotRevertedByALaterReport() {
        table.merge(instance("a", 5), 0);
        table.merge(instance("a", 7).withState(InstanceState.DRAINING), 0);
        table.merge(instance("a", 8), 0);
        assertThat(table.find(new UpstreamId("a")).orElseThrow().state())
                .isEqualTo(InstanceState.DRAINING);
    }

    @Test
    void drainingReportThatALaterReportHasOvertakenStillCounts() {
        table.merge(instance("a", 8), 0);
        assertThat(table.merge(instance("a", 7).withState(InstanceState.DRAINING), 0)).hasSize(1);
        assertThat(table.find(new UpstreamId("a")).orElseThrow())
                .isEqualTo(instance("a", 8).withState(InstanceState.DRAINING));
    }

    @Test
    void goneInstanceNeverComesBack() {
        table.merge(instance("a", 5), 0);
        table.remove(new UpstreamId("a"));
        assertThat(table.merge(instance("a", 9), 0)).isEmpty();
        assertThat(table.all()).isEmpty();
    }

    @Test
    void silentInstanceComesBackWithALaterReport() {
        table.merge(instance("a", 5), 0);
        assertThat(table.expire(7 * SECOND))
                .singleElement()
                .matches(silent -> silent.state() == InstanceState.SILENT);
        assertThat(table.merge(instance("a", 6), 8 * SECOND))
                .singleElement()
                .matches(back -> back.state() == InstanceState.READY);
    }

    @Test
    void silentReportOlderThanALaterReportChangesNothing() {
        table.merge(instance("a", 6), 0);
        assertThat(table.merge(instance("a", 5).withState(InstanceState.SILENT), 0)).isEmpty();
    }

    @Test
    void lateReportOfAPredecessorAtTheSameAddressDoesNotDisplaceItsSuccessor() {
        table.merge(instance("new", "10.0.0.1:80", 3), 10 * SECOND);
        assertThat(table.merge(instance("old", "10.0.0.1:80", 90), 11 * SECOND)).isEmpty();
        assertThat(table.find(new UpstreamId("new"))).isPresent();
    }

    @Test
    void successorAtTheSameAddressReplacesASilentInstance() {
        table.merge(instance("old", "10.0.0.1:80", 90), 0);
        List<Instance> changed = table.merge(instance("new", "10.0.0.1:80", 1), 4 * SECOND);
        assertThat(changed)
                .extracting(Instance::state)
                .containsExactly(InstanceState.GONE, InstanceState.READY);
        assertThat(table.merge(instance("old", "10.0.0.1:80", 91), 5 * SECOND)).isEmpty();
    }

    @Test
    void restartUnderTheSameNameBeginsANewIncarnation() {
        table.merge(incarnation("a", 100, 90, "old"), 0);
        assertThat(table.merge(incarnation("a", 200, 1), SECOND))
                .extracting(Instance::state)
                .containsExactly(InstanceState.GONE, InstanceState.READY);
        assertThat(table.find(new UpstreamId("a", 200)).orElseThrow().models()).isEmpty();
        assertThat(table.find(new UpstreamId("a", 100))).isEmpty();
    }

    @Test
    void lateHeartbeatOfAnEarlierIncarnationChangesNothing() {
        table.merge(incarnation("a", 100, 90), 0);
        table.merge(incarnation("a", 200, 1), SECOND);
        assertThat(table.merge(incarnation("a", 100, 91), 60 * SECOND)).isEmpty();
        assertThat(table.all()).extracting(Instance::id).containsExactly(new UpstreamId("a", 200));
    }

    @Test
    void drainingOfAnEarlierIncarnationDoesNotApplyToTheNext() {
        table.merge(incarnation("a", 100, 90).withState(InstanceState.DRAINING), 0);
        table.merge(incarnation("a", 200, 1), SECOND);
        assertThat(table.find(new UpstreamId("a", 200)).orElseThrow().state())
                .isEqualTo(InstanceState.READY);
    }

    @Test
    void goneIncarnationIsSucceededOnlyByALaterOne() {
        table.merge(incarnation("a", 100, 90), 0);
        table.remove(new UpstreamId("a"));
        assertThat(table.merge(incarnation("a", 100, 91), SECOND)).isEmpty();
        assertThat(table.merge(incarnation("a", 200, 1), SECOND)).hasSize(1);
    }

    @Test
    void lateRemovalOfAnEarlierIncarnationDoesNotRemoveTheNext() {
        table.merge(incarnation("a", 200, 1), 0);
        assertThat(table.remove(new UpstreamId("a", 100))).isEmpty();
        assertThat(table.find(new UpstreamId("a", 200))).isPresent();
    }

    @Test
    void startAfterAClockStepBackIsAcceptedOnceThePreviousIncarnationIsSilent() {
        table.merge(incarnation("a", 200, 90), 0);
        assertThat(table.merge(incarnation("a", 150, 1), SECOND)).isEmpty();
        assertThat(table.merge(incarnation("a", 150, 3), 3 * SECOND)).hasSize(2);
        assertThat(table.all()).extracting(Instance::id).containsExactly(new UpstreamId("a", 150));
    }

    @Property(tries = 300)
    void onlyTheLatestIncarnationOfANameIsKept(@ForAll long seed) {
        Random random = new Random(seed);
        InstanceTable incarnations = new InstanceTable(SILENCE);
        long latest = 0;
        for (int number = 0; number < 20; number++) {
            long born = 100L + random.nextInt(5);
            latest = Math.max(latest, born);
            Instance report = incarnation("a", born, 1 + random.nextInt(6));
            incarnations.merge(
                    random.nextInt(4) == 0 ? report.withState(InstanceState.DRAINING) : report, 0);
            UpstreamId expected = new UpstreamId("a", latest);
            assertThat(incarnations.all()).extracting(Instance::id).containsExactly(expected);
        }
    }

    @Property(tries = 200)
    void tablesThatSawTheSameReportsAgree(@ForAll long seed) {
        Random random = new Random(seed);
        List<Instance> reports = new ArrayList<>();
        for (int number = 0; number < 12; number++) {
            String name = "i" + random.nextInt(3);
            boolean hasStartTime = random.nextBoolean();
            Instance report =
                    hasStartTime
                            ? incarnation(
                                    name + "t", 100L + random.nextInt(2), 1 + random.nextInt(6))
                            : instance(name, 1 + random.nextInt(6));
            int kind = random.nextInt(8);
            reports.add(
                    switch (kind) {
                        case 0 -> report.withState(InstanceState.GONE);
                        case 1 -> report.withState(InstanceState.DRAINING);
                        default -> report;
                    });
        }
        InstanceTable inOrder = new InstanceTable(SILENCE);
        reports.forEach(report -> inOrder.merge(report, 0));
        List<Instance> shuffled = new ArrayList<>(reports);
        shuffled.addAll(reports.subList(0, 4));
        Collections.shuffle(shuffled, random);
        InstanceTable anyOrder = new InstanceTable(SILENCE);
        shuffled.forEach(report -> anyOrder.merge(report, 0));
        assertThat(anyOrder.all()).containsExactlyInAnyOrderElementsOf(inOrder.all());
    }
}
