package io.stackhall.core.config;

import io.stackhall.core.id.ChangeId;
import io.stackhall.core.id.UpstreamId;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The replicated register of the configuration, with compare-and-set on the revision, deduplication
 * of resent changes, and an audit trail.
 *
 * <p>It is deterministic: replicas that apply the same changes have the same state.
 */
public final class ConfigRegister {

    /** Number of changes whose first answer is kept for resends. */
    public static final int MAX_RETAINED_ANSWERS = 10_000;

    /** Number of audit records that are kept in the register. */
    public static final int MAX_RETAINED_AUDIT_RECORDS = 10_000;

    private final Map<ChangeId, ChangeOutcome> answers = new LinkedHashMap<>();
    private final Deque<AuditRecord> audit = new ArrayDeque<>();
    private Configuration configuration = Configuration.initial();
    private long auditSequence;

    /** Creates an empty register. */
    public ConfigRegister() {}

    /** Creates a register from a state returned by {@link #state()}. */
    public ConfigRegister(State state) {
        configuration = state.configuration();
        state.answers().forEach(answer -> answers.put(answer.id(), answer.outcome()));
        audit.addAll(state.audit());
        auditSequence = state.auditSequence();
    }

    /** The complete state of a register. */
    public record State(
            Configuration configuration,
            List<Answer> answers,
            List<AuditRecord> audit,
            long auditSequence) {}

    /** The first answer to a change. */
    public record Answer(ChangeId id, ChangeOutcome outcome) {}

    /** Applies a change, or returns the first answer if a change with the same id was applied. */
    public ChangeOutcome apply(Change change) {
        ChangeOutcome first = answers.get(change.id());
        if (first != null) {
            return first;
        }
        long before = configuration.revision();
        ChangeOutcome outcome = decide(change.body());
        answers.put(change.id(), outcome);
        trim(answers);
        record(change, before, outcome);
        return outcome;
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns the audit trail, oldest first. */
    public List<AuditRecord> audit() {
        return List.copyOf(audit);
    }

    /** Returns the complete state of the register. */
    public State state() {
        List<Answer> kept = new ArrayList<>();
        answers.forEach((id, outcome) -> kept.add(new Answer(id, outcome)));
        return new State(configuration, kept, List.copyOf(audit), auditSequence);
    }

    private ChangeOutcome decide(Change.Body body) {
        return switch (body) {
            case Change.ReplaceDeployment(Deployment deployment, long expected) ->
                    replace(deployment, expected);
            case Change.SetDrain(UpstreamId upstream, boolean draining) ->
                    drain(upstream, draining);
        };
    }

    private ChangeOutcome replace(Deployment deployment, long expected) {
        if (expected != configuration.revision()) {
            return outcome(ChangeOutcome.Verdict.REVISION_MISMATCH, List.of());
        }
        Either<List<Finding>, Deployment> checked = DeploymentChecker.check(deployment);
        if (checked.isLeft()) {
            return outcome(ChangeOutcome.Verdict.INVALID, checked.getLeft());
        }
        return accept(deployment, configuration.draining());
    }

    private ChangeOutcome drain(UpstreamId upstream, boolean draining) {
        Set<UpstreamId> next = new TreeSet<>(Comparator.comparing(UpstreamId::value));
        next.addAll(configuration.draining());
        boolean changed = draining ? next.add(upstream) : next.remove(upstream);
        if (!changed) {
            return outcome(ChangeOutcome.Verdict.ACCEPTED, List.of());
        }
        return accept(configuration.deployment(), next);
    }

    private ChangeOutcome accept(Deployment deployment, Set<UpstreamId> draining) {
        configuration = new Configuration(configuration.revision() + 1, deployment, draining);
        return outcome(ChangeOutcome.Verdict.ACCEPTED, List.of());
    }

    private ChangeOutcome outcome(ChangeOutcome.Verdict verdict, List<Finding> findings) {
        return new ChangeOutcome(verdict, configuration.revision(), findings);
    }

    private void record(Change change, long before, ChangeOutcome outcome) {
        auditSequence++;
        audit.add(
                new AuditRecord(
                        auditSequence,
                        change.timeMillis(),
                        change.operator(),
                        change.id(),
                        describe(change.body()),
                        before,
                        outcome.revision(),
                        outcome.verdict()));
        if (audit.size() > MAX_RETAINED_AUDIT_RECORDS) {
            audit.removeFirst();
        }
    }

    private static String describe(Change.Body body) {
        return switch (body) {
            case Change.ReplaceDeployment(Deployment deployment, long ignored) ->
                    "deployment of %d models, %d adapters, %d services, policy %s"
                            .formatted(
                                    deployment.models().size(),
                                    deployment.adapters().size(),
                                    deployment.services().size(),
                                    deployment.policy().active().text());
            case Change.SetDrain(UpstreamId upstream, boolean draining) ->
                    (draining ? "drain " : "undrain ") + upstream;
        };
    }

    private static void trim(Map<ChangeId, ChangeOutcome> answers) {
        if (answers.size() > MAX_RETAINED_ANSWERS) {
            answers.remove(answers.keySet().iterator().next());
        }
    }
}
