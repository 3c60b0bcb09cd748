package io.stackhall.core.residency;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.ModelId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** The models that an engine holds by its own account or answer, beside those of its heartbeats. */
final class ReportedModels {

    private List<ModelCopy> models = List.of();
    private long reportedAt;

    /** Takes in what the engine's account lists. */
    void replace(List<ModelCopy> reported, long now) {
        models = List.copyOf(reported);
        reportedAt = now;
    }

    /**
     * Notes that the engine has answered that it holds a model. Until a heartbeat showed it, the
     * same load was ordered every 100 ms, five times within half a second (one day of load, from
     * the log).
     */
    void add(ModelId model) {
        remove(model);
        List<ModelCopy> more = new ArrayList<>(models);
        more.add(new ModelCopy(model, 0, Set.of()));
        models = List.copyOf(more);
    }

    /**
     * An account that was read before an unload no longer counts once the unload is done. While it
     * did, all three models of an engine were unloaded one after the other to make room for one.
     */
    void remove(ModelId model) {
        models = models.stream().filter(copy -> !copy.model().equals(model)).toList();
    }

    /** Returns the models that the engine's last heartbeat does not show. */
    List<ModelCopy> missingFrom(Instance instance) {
        return models.stream().filter(copy -> instance.copyOf(copy.model()).isEmpty()).toList();
    }

    /** Returns when the account was read last, on the monotonic clock in nanoseconds. */
    long reportedAt() {
        return reportedAt;
    }
}
