package io.stackhall.server.group;

import io.stackhall.core.config.AuditRecord;
import io.stackhall.core.config.ChangeOutcome;
import io.stackhall.core.config.ConfigRegister;
import io.stackhall.core.id.WorkId;
import io.stackhall.core.outcome.WorkItem;
import io.stackhall.core.outcome.WorkLedger;
import io.stackhall.core.outcome.WorkResult;
import io.stackhall.server.json.Json;
import java.util.List;

/** The state of the control group: the configuration and the accepted work. */
public final class ControlState implements GroupState {

    private ConfigRegister register = new ConfigRegister();
    private WorkLedger work = new WorkLedger();

    /** Everything that the group holds. */
    record Saved(ConfigRegister.State register, WorkLedger.State work) {}

    /** The answer to {@link ControlQuery.FindWork}: one piece of work or none. */
    public record FoundWork(List<WorkItem> items) {}

    /** The answer to {@link ControlQuery.ReadAudit}, oldest first. */
    public record AuditTrail(List<AuditRecord> records) {}

    @Override
    public byte[] apply(byte[] command) {
        ControlResult result =
                switch (Json.read(ControlCommand.class, command)) {
                    case ControlCommand.ChangeConfiguration(var change) -> {
                        ChangeOutcome outcome = register.apply(change);
                        yield new ControlResult.ConfigurationChanged(outcome);
                    }
                    case ControlCommand.ChangeWork(var workCommand) -> {
                        WorkResult outcome = work.apply(workCommand);
                        yield new ControlResult.WorkChanged(outcome);
                    }
                };
        return Json.write(ControlResult.class, result);
    }

    @Override
    public byte[] query(byte[] question) {
        return switch (Json.read(ControlQuery.class, question)) {
            case ControlQuery.FindWork(WorkId id) ->
                    Json.write(FoundWork.class, new FoundWork(work.item(id).stream().toList()));
            case ControlQuery.ReadAudit() ->
                    Json.write(AuditTrail.class, new AuditTrail(register.audit()));
        };
    }

    @Override
    public byte[] snapshot() {
        return Json.write(Saved.class, new Saved(register.state(), work.state()));
    }

    @Override
    public void restore(byte[] snapshot) {
        if (snapshot.length == 0) {
            register = new ConfigRegister();
            work = new WorkLedger();
            return;
        }
        Saved saved = Json.read(Saved.class, snapshot);
        register = new ConfigRegister(saved.register());
        work = new WorkLedger(saved.work());
    }

    @Override
    public void reformed(boolean memoryLost) {
        // Its members have disks: what the survivor holds is what there is.
    }

    /** Returns the register, for the group's thread. */
    public ConfigRegister register() {
        return register;
    }

    /** Returns the accepted work, for the group's thread. */
    public WorkLedger work() {
        return work;
    }
}
