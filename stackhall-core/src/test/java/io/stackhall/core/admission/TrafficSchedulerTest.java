package io.stackhall.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.config.Priority;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.RequestId;
import io.stackhall.core.outcome.RequestOutcome;
import io.stackhall.core.routing.Announcements;
import io.stackhall.core.routing.AttemptResult;
import io.stackhall.core.routing.Reach;
import io.stackhall.core.routing.Router;
import io.stackhall.core.routing.RoutingSettings;
import io.stackhall.core.routing.Target;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Which request is dispatched, which waits, and which is refused at once. */
class TrafficSchedulerTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final Target TARGET = new Target.Model(new ModelId("m"));

    private final TrafficScheduler scheduler =
            new TrafficScheduler(
                    new AdmissionSettings(50, 40, 0.1, 3),
                    new Router(RoutingSettings.standard(), new Random(1)));
    private final List<TrafficEffect> effects = new ArrayList<>();
    private long now = 1000 * SECOND;
    private int next;

    @Test
    void urgentRequestOvertakesThoseThatWait() {
        announce("a", 1, 1);
        arrive("c", Priority.NORMAL, 60);
        String waiting = arrive("c", Priority.NORMAL, 60);
        String urgent = arrive("d", Priority.URGENT, 60);
        assertThat(dispatched()).doesNotContain(urgent, waiting);
        end("r0", AttemptResult.SERVED, new RequestOutcome.Ran());
        assertThat(dispatched()).contains(urgent).doesNotContain(waiting);
    }

    @Test
    void callerWithManyRequestsDoesNotStarveAnother() {
        announce("a", 1, 1);
        for (int at = 0; at < 20; at++) {
            arrive("many", Priority.NORMAL, 600);
        }
        String single = arrive("single", Priority.NORMAL, 600);
        for (int at = 0; at < 3; at++) {
            end(dispatched().getLast(), AttemptResult.SERVED, new RequestOutcome.Ran());
        }
        assertThat(dispatched()).contains(single);
    }

    @Test
    void requestThatCannotMeetItsDeadlineIsRefusedAtOnceWithARetryTime() {
        announce("a", 1, 1);
        arrive("c", Priority.NORMAL, 60);
        for (int at = 0; at < 30; at++) {
            arrive("c", Priority.NORMAL, 60);
        }
        String hopeless = arrive("d", Priority.NORMAL, 1);
        TrafficEffect.Refuse refusal = refusal(hopeless);
        assertThat(refusal.refusal()).isEqualTo(Refusal.DEADLINE);
        assertThat(refusal.outcome()).isInstanceOf(RequestOutcome.NotRun.class);
        assertThat(refusal.retryAfterSeconds()).isBetween(2, 60);
    }

    @Test
    void queueIsBoundedForEachCaller() {
        for (int at = 0; at < 40; at++) {
            arrive("many", Priority.NORMAL, 600);
        }
        String beyond = arrive("many", Priority.NORMAL, 600);
        assertThat(refusal(beyond).refusal()).isEqualTo(Refusal.QUEUE_FULL);
        String other = arrive("other", Priority.NORMAL, 600);
        assertThat(effects).noneMatch(effect -> refuses(effect, other));
    }

    @Test
    void unknownOutcomeOfARequestThatIsNotRepeatableIsNotTriedAgain() {
        announce("a", 1, 4);
        announce("b", 1, 4);
        String once = arrive("c", Priority.NORMAL, 60, false);
        end(once, AttemptResult.FAILED, new RequestOutcome.Unknown("cut"));
        assertThat(dispatched()).containsExactly(once);
        assertThat(refusal(once).outcome()).isInstanceOf(RequestOutcome.Unknown.class);
    }

    @Test
    void provedNotRunIsRetriedElsewhereThoughNotRepeatable() {
        announce("a", 1, 4);
        announce("b", 1, 4);
        String once = arrive("c", Priority.NORMAL, 60, false);
        end(once, AttemptResult.FAILED, new RequestOutcome.NotRun("refused"));
        assertThat(dispatched()).containsExactly(once, once);
        List<TrafficEffect.Dispatch> both =
                effects.stream()
                        .filter(effect -> effect instanceof TrafficEffect.Dispatch)
                        .map(effect -> (TrafficEffect.Dispatch) effect)
                        .toList();
        assertThat(both.get(0).upstream()).isNotEqualTo(both.get(1).upstream());
    }

    @Test
    void refusalAfterAnAttemptThatMayHaveRunSaysUnknown() {
        announce("a", 1, 4);
        String request = arrive("c", Priority.NORMAL, 60);
        end(request, AttemptResult.FAILED, new RequestOutcome.Unknown("cut"));
        end(request, AttemptResult.FAILED, new RequestOutcome.NotRun("refused"));
        end(request, AttemptResult.FAILED, new RequestOutcome.NotRun("refused"));
        assertThat(refusal(request).outcome()).isInstanceOf(RequestOutcome.Unknown.class);
    }

    @Test
    void retriesAreBoundedByTheBudget() {
        announce("a", 1, 1000);
        now += 10 * SECOND;
        int attempts = 0;
        for (int at = 0; at < 100; at++) {
            String request = arrive("c" + at, Priority.URGENT, 60);
            now += SECOND;
            scheduler.step(
                    new TrafficEvent.Announced(Announcements.engine("a", at + 2, "m", 1000, 0)),
                    now);
            int before = effects.size();
            end(request, AttemptResult.OVERLOADED, new RequestOutcome.NotRun("busy"));
            attempts +=
                    (int)
                            effects.stream()
                                    .skip(before)
                                    .filter(TrafficSchedulerTest::dispatches)
                                    .count();
        }
        assertThat(attempts).isBetween(1, 25);
    }

    @Test
    void requestForANonResidentModelIsDispatchedOnceTheModelIsResident() {
        String request = arrive("c", Priority.NORMAL, 60);
        assertThat(scheduler.waitingByModel()).containsEntry(new ModelId("m"), 1);
        announce("a", 1, 4);
        assertThat(dispatched()).containsExactly(request);
    }

    private void announce(String id, long sequence, int slots) {
        take(new TrafficEvent.Announced(Announcements.engine(id, sequence, "m", slots, 0)));
    }

    private String arrive(String caller, Priority priority, int deadlineSeconds) {
        return arrive(caller, priority, deadlineSeconds, true);
    }

    private String arrive(
            String caller, Priority priority, int deadlineSeconds, boolean repeatable) {
        String id = "r" + next++;
        take(
                new TrafficEvent.Arrived(
                        new Arrival(
                                new RequestId(id),
                                new CustomerId(caller),
                                TARGET,
                                priority,
                                now + deadlineSeconds * SECOND,
                                0,
                                repeatable,
                                Reach.ALL_ZONES)));
        return id;
    }

    private void end(String id, AttemptResult ending, RequestOutcome outcome) {
        take(new TrafficEvent.AttemptEnded(new RequestId(id), ending, outcome, false));
    }

    private void take(TrafficEvent event) {
        effects.addAll(scheduler.step(event, now));
    }

    private List<String> dispatched() {
        List<String> ids = new ArrayList<>();
        for (TrafficEffect effect : effects) {
            if (effect instanceof TrafficEffect.Dispatch dispatch) {
                ids.add(dispatch.id().value());
            }
        }
        return ids;
    }

    private TrafficEffect.Refuse refusal(String id) {
        return effects.stream()
                .filter(effect -> refuses(effect, id))
                .map(effect -> (TrafficEffect.Refuse) effect)
                .findFirst()
                .orElseThrow(() -> new AssertionError(id + " was not refused"));
    }

    private static boolean dispatches(TrafficEffect effect) {
        return effect instanceof TrafficEffect.Dispatch;
    }

    private static boolean refuses(TrafficEffect effect, String id) {
        return effect instanceof TrafficEffect.Refuse refuse && refuse.id().value().equals(id);
    }
}
