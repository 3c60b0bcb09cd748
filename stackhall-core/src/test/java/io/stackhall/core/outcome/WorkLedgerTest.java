package io.stackhall.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.config.Priority;
import io.stackhall.core.id.AttemptToken;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.WorkId;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How accepted work is taken, ended and returned. */
class WorkLedgerTest {

    private static final AttemptToken FIRST = new AttemptToken("first");
    private static final AttemptToken SECOND = new AttemptToken("second");
    private static final CustomerId CALLER = new CustomerId("c");

    private final WorkLedger ledger = new WorkLedger();

    @Test
    void mostUrgentAndThenOldestWorkIsTakenFirst() {
        accept("old", Priority.DEFERRED, true);
        accept("new", Priority.DEFERRED, true);
        accept("urgent", Priority.URGENT, true);
        assertThat(take("1")).isEqualTo("urgent");
        assertThat(take("2")).isEqualTo("old");
        assertThat(take("3")).isEqualTo("new");
        assertThat(ledger.apply(new WorkCommand.Take(FIRST)))
                .isInstanceOf(WorkResult.NothingWaits.class);
    }

    @Test
    void resentTakeGetsTheSameWork() {
        accept("a", Priority.DEFERRED, true);
        accept("b", Priority.DEFERRED, true);
        assertThat(take("1")).isEqualTo("a");
        assertThat(take("1")).isEqualTo("a");
    }

    @Test
    void resentAcceptIsStoredOnce() {
        accept("a", Priority.DEFERRED, true);
        accept("a", Priority.DEFERRED, true);
        assertThat(ledger.items()).hasSize(1);
    }

    /**
     * A work item that crashes each upstream that begins to run it would be run again forever, by
     * one host after another and across their restarts.
     */
    @Test
    void workIsUncertainAfterTheMaximumOfLostAttempts() {
        accept("fatal", Priority.DEFERRED, true);
        for (int attempt = 0; attempt < 5; attempt++) {
            assertThat(take("t" + attempt)).isEqualTo("fatal");
            ledger.apply(
                    new WorkCommand.Lose(new WorkId("fatal"), new AttemptToken("t" + attempt)));
        }
        assertThat(progress("fatal")).isEqualTo(WorkItem.Progress.UNCERTAIN);
        assertThat(ledger.apply(new WorkCommand.Take(FIRST)))
                .isInstanceOf(WorkResult.NothingWaits.class);
    }

    @Test
    void lostAttemptIsRunAgainOnlyIfRepeatable() {
        accept("again", Priority.DEFERRED, true);
        accept("once", Priority.DEFERRED, false);
        take("1");
        take("2");
        ledger.apply(new WorkCommand.Lose(new WorkId("again"), new AttemptToken("1")));
        ledger.apply(new WorkCommand.Lose(new WorkId("once"), new AttemptToken("2")));
        assertThat(progress("again")).isEqualTo(WorkItem.Progress.WAITING);
        assertThat(progress("once")).isEqualTo(WorkItem.Progress.UNCERTAIN);
    }

    @Test
    void lateAnswerOfALostAttemptIsStale() {
        accept("a", Priority.DEFERRED, true);
        ledger.apply(new WorkCommand.Take(FIRST));
        ledger.apply(new WorkCommand.Lose(new WorkId("a"), FIRST));
        ledger.apply(new WorkCommand.Take(SECOND));
        StoredAnswer answer = new StoredAnswer(200, "t", new byte[0], true);
        assertThat(ledger.apply(new WorkCommand.Finish(new WorkId("a"), FIRST, answer)))
                .isInstanceOf(WorkResult.Stale.class);
        assertThat(progress("a")).isEqualTo(WorkItem.Progress.RUNNING);
    }

    @Test
    void onlyItsCallerCancelsWorkAndOnlyBeforeItRuns() {
        accept("a", Priority.DEFERRED, true);
        WorkId id = new WorkId("a");
        assertThat(ledger.apply(new WorkCommand.Cancel(id, new CustomerId("other"))))
                .isInstanceOf(WorkResult.Stale.class);
        ledger.apply(new WorkCommand.Take(FIRST));
        assertThat(ledger.apply(new WorkCommand.Cancel(id, CALLER)))
                .isInstanceOf(WorkResult.Stale.class);
        ledger.apply(new WorkCommand.PutBack(id, FIRST));
        assertThat(ledger.apply(new WorkCommand.Cancel(id, CALLER)))
                .isInstanceOf(WorkResult.Done.class);
    }

    @Test
    void unfinishedWorkIsNeverForgotten() {
        accept("a", Priority.DEFERRED, true);
        ledger.apply(new WorkCommand.Forget(List.of(new WorkId("a"))));
        assertThat(ledger.items()).hasSize(1);
    }

    private void accept(String id, Priority priority, boolean repeatable) {
        WorkItem.Request request = new WorkItem.Request("/v1/completions", new byte[0]);
        ledger.apply(new WorkCommand.Accept(new WorkId(id), CALLER, priority, request, repeatable));
    }

    private String take(String token) {
        WorkResult result = ledger.apply(new WorkCommand.Take(new AttemptToken(token)));
        return ((WorkResult.Taken) result).item().id().value();
    }

    private WorkItem.Progress progress(String id) {
        return ledger.item(new WorkId(id)).orElseThrow().progress();
    }
}
