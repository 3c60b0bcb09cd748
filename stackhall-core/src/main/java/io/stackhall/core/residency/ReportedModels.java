package io.stackhall.core.residency;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.ModelId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The models that an engine holds according to its status report or its answers, in addition to
 * those in its heartbeats.
 */
final class ReportedModels {

    private List<ModelCopy> models = List.of();
    private long reportedAt;

    /** Replaces the models by those of a status report. */
    void replace(List<ModelCopy> reported, long now) {
        models = List.copyOf(reported);
        reportedAt = now;
    }

    /**
     * Adds a model that the engine has answered to hold. Without this, the same load was ordered
     * every 100 ms until a heartbeat showed the model, five times within half a second in one day
     * of load.
     */
    void add(ModelId model) {
        remove(model);
        List<ModelCopy> more = new ArrayList<>(models);
        more.add(new ModelCopy(model, 0, Set.of()));
        models = List.copyOf(more);
    }

    /**
     * Removes an unloaded model, because a report read before the unload still lists it. While such
     * a report counted, all three models of an engine were unloaded one after the other to make
     * room for one.
     */
    void remove(ModelId model) {
        models = models.stream().filter(copy -> !copy.model().equals(model)).toList();
    }

    /** Returns the models that the engine's last heartbeat does not list. */
    List<ModelCopy> missingFrom(Instance instance) {
        return models.stream().filter(copy -> instance.copyOf(copy.model()).isEmpty()).toList();
    }

    /** Returns when the last status report was read, on the monotonic clock in nanoseconds. */
    long reportedAt() {
        return reportedAt;
    }
}
