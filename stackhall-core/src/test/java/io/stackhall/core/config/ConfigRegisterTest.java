package io.stackhall.core.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import io.stackhall.core.id.ChangeId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of the ordering, deduplication and audit of changes. */
class ConfigRegisterTest {

    private final ConfigRegister register = new ConfigRegister();

    @Test
    void onlyTheFirstOfTwoChangesOfOneRevisionIsAccepted() {
        assertThat(replace("a", 0, 100).verdict()).isEqualTo(ChangeOutcome.Verdict.ACCEPTED);
        assertThat(replace("b", 0, 200).verdict())
                .isEqualTo(ChangeOutcome.Verdict.REVISION_MISMATCH);
        assertThat(register.configuration().revision()).isEqualTo(1);
    }

    @Test
    void resentChangeGetsFirstAnswerAlsoAfterRestore() {
        ChangeOutcome first = replace("a", 0, 100);
        replace("b", 1, 200);
        assertThat(replace("a", 0, 100)).isEqualTo(first);
        ConfigRegister restored = new ConfigRegister(register.state());
        assertThat(restored.apply(change("a", 0, 100))).isEqualTo(first);
        assertThat(restored.state()).isEqualTo(register.state());
    }

    @Test
    void invalidDeploymentIsRejectedWithAllFindings() {
        Deployment wrong =
                new Deployment(
                        List.of(model("m", 0), model("m", 5)),
                        List.of(new AdapterSpec(new ModelId("a"), new ModelId("nobody"), 1)),
                        List.of(),
                        List.of(),
                        Deployment.empty().policy(),
                        new WeightStoreSpec(0, 0));
        ChangeOutcome outcome =
                register.apply(
                        new Change(
                                new ChangeId("c"),
                                "op",
                                1,
                                new Change.ReplaceDeployment(wrong, 0)));
        assertThat(outcome.verdict()).isEqualTo(ChangeOutcome.Verdict.INVALID);
        assertThat(outcome.findings())
                .extracting(Finding::place)
                .containsExactlyInAnyOrder(
                        "/models",
                        "/models/0/memory_mib",
                        "/adapters/0/base",
                        "/weight_store/loads_per_second",
                        "/weight_store/parallel_loads");
        assertThat(register.configuration()).isEqualTo(Configuration.initial());
    }

    @Test
    void drainNeedsNoRevisionAndIsIdempotent() {
        assertThat(drain("a", "u", true).revision()).isEqualTo(1);
        assertThat(drain("b", "u", true).revision()).isEqualTo(1);
        assertThat(drain("c", "u", false).revision()).isEqualTo(2);
        assertThat(register.configuration().draining()).isEmpty();
    }

    @Test
    void auditRecordsEveryChangeWithItsOutcome() {
        replace("a", 0, 100);
        replace("b", 0, 200);
        assertThat(register.audit())
                .extracting(AuditRecord::changeId, AuditRecord::fromRevision, AuditRecord::outcome)
                .containsExactly(
                        tuple(new ChangeId("a"), 0L, ChangeOutcome.Verdict.ACCEPTED),
                        tuple(new ChangeId("b"), 1L, ChangeOutcome.Verdict.REVISION_MISMATCH));
    }

    private ChangeOutcome replace(String id, long revision, long memoryMib) {
        return register.apply(change(id, revision, memoryMib));
    }

    private ChangeOutcome drain(String id, String upstream, boolean draining) {
        return register.apply(
                new Change(
                        new ChangeId(id),
                        "op",
                        1,
                        new Change.SetDrain(new UpstreamId(upstream), draining)));
    }

    private static Change change(String id, long revision, long memoryMib) {
        Deployment deployment =
                new Deployment(
                        List.of(model("m", memoryMib)),
                        List.of(),
                        List.of(),
                        List.of(),
                        Deployment.empty().policy(),
                        new WeightStoreSpec(1, 1));
        return new Change(
                new ChangeId(id), "op", 1, new Change.ReplaceDeployment(deployment, revision));
    }

    private static ModelSpec model(String id, long memoryMib) {
        return new ModelSpec(new ModelId(id), "1", memoryMib, 1, true);
    }
}
