package io.stackhall.core.policy;

import java.util.Optional;

/**
 * Estimates the value of a copy of a model, resident in an engine or as local weights, for {@link
 * NearestCopyPolicy}. Values and costs share one arbitrary scale.
 */
final class CopyValue {

    /** The value of a first copy, per request per second. */
    private static final double FIRST_COPY_VALUE = 10;

    /** The value of a first copy of a model without requests: better one copy than none. */
    private static final double IDLE_COPY_VALUE = 0.2;

    /**
     * Additional value of an only copy whose weights at most one engine stores locally: that engine
     * may be busy when the model is requested again.
     */
    private static final double ONLY_LOCAL_COPY_VALUE = 1.5;

    /**
     * The value of a second copy, per request per second: it also serves while the engine of the
     * first is lost or busy with a load, and is available when demand grows. With this value a
     * model with 2 requests per second justifies a load of 9 s from the weight store.
     */
    private static final double SECOND_COPY_VALUE = 5;

    /** The value of a further copy, per request per second and per mean service time saved. */
    private static final double QUEUEING_RELIEF_VALUE = 0.5;

    /** Up to this utilization the wait is that of a single server with random arrivals. */
    private static final double MAX_QUEUE_MODEL_UTILIZATION = 0.8;

    /**
     * The expected loss for a model whose weights only one engine holds; it falls with the square
     * of the number of engines. In one run with failures, loads of other models displaced a model
     * from all six disks that had stored it; at 12 requests per second, 114 of its requests were
     * then refused.
     */
    private static final double SINGLE_LOCATION_RISK = 20;

    /** The expected loss for a model whose weights no engine holds: no deadline can be met. */
    private static final double NO_LOCATION_RISK = 40;

    private static final double NANOS_PER_SECOND = 1e9;

    private CopyValue() {}

    /**
     * Returns the cost of the local weights that a load from the store displaces on an engine. It
     * is not known which ones are displaced, so this is the mean over all local weights that the
     * engine does not serve.
     */
    static double displacementCost(PlacementPlan plan, PlacementView.Engine engine) {
        return engine.localLoadTimes().keySet().stream()
                .filter(model -> !engine.holds(model))
                .mapToLong(model -> plan.weightLocations().locations(model))
                .mapToDouble(locations -> locationRisk(locations - 1) - locationRisk(locations))
                .average()
                .orElse(0);
    }

    /**
     * Returns the value of one more engine that holds a model's weights. While requests wait, only
     * the first location has a value, since engines should stay free for those requests.
     */
    static double ofWeightLocation(PlacementPlan plan, PlacementView.DeployedArtifact deployed) {
        long locations = plan.weightLocations().locations(deployed.artifact().id());
        return locations == 0 || plan.noneWaiting()
                ? locationRisk(locations) - locationRisk(locations + 1)
                : 0;
    }

    /** Returns the expected loss for a model whose weights a number of engines hold. */
    private static double locationRisk(long locations) {
        return locations == 0 ? NO_LOCATION_RISK : SINGLE_LOCATION_RISK / (locations * locations);
    }

    /** Returns the value of one more copy, given the resident ones and those being loaded. */
    static double ofNextCopy(PlacementPlan plan, PlacementView.DeployedArtifact deployed) {
        int next = plan.copies(deployed.artifact()) + plan.pendingLoads(deployed.artifact()) + 1;
        return ofCopy(plan, deployed, next);
    }

    /** Returns the value that is lost when one of the resident copies is evicted. */
    static double ofResidentCopy(PlacementPlan plan, PlacementView.ResidentArtifact resident) {
        Optional<PlacementView.DeployedArtifact> deployed = plan.deployed(resident.artifact().id());
        if (deployed.isEmpty()) {
            return 0;
        }
        int copies = Math.max(1, plan.copies(resident.artifact()));
        boolean onlyLocalCopy =
                copies == 1 && plan.weightLocations().localCopies(resident.artifact().id()) <= 1;
        return ofCopy(plan, deployed.get(), copies)
                + recencyValue(plan, deployed.get())
                + (onlyLocalCopy ? ONLY_LOCAL_COPY_VALUE : 0);
    }

    /** Returns the value of the copy of a given ordinal number, where 1 is the first. */
    static double ofCopy(PlacementPlan plan, PlacementView.DeployedArtifact deployed, int copy) {
        double rate = deployed.ratePerSecond();
        if (copy <= 1) {
            return FIRST_COPY_VALUE * rate + IDLE_COPY_VALUE + deployed.waiting();
        }
        double capacity = plan.view().saturatingRate();
        double relief = meanWait(rate / (copy - 1) / capacity) - meanWait(rate / copy / capacity);
        double availability = copy == 2 ? SECOND_COPY_VALUE * rate : 0;
        return QUEUEING_RELIEF_VALUE * rate * relief + availability;
    }

    /**
     * Returns the mean wait at an engine, in service times; extrapolated linearly beyond {@link
     * #MAX_QUEUE_MODEL_UTILIZATION}.
     */
    private static double meanWait(double utilization) {
        if (utilization <= MAX_QUEUE_MODEL_UTILIZATION) {
            return utilization / (1 - utilization);
        }
        double slope = 1 / ((1 - MAX_QUEUE_MODEL_UTILIZATION) * (1 - MAX_QUEUE_MODEL_UTILIZATION));
        return MAX_QUEUE_MODEL_UTILIZATION / (1 - MAX_QUEUE_MODEL_UTILIZATION)
                + slope * (utilization - MAX_QUEUE_MODEL_UTILIZATION);
    }

    /** Breaks ties: of equal copies the one requested longest ago is evicted first. */
    private static double recencyValue(
            PlacementPlan plan, PlacementView.DeployedArtifact deployed) {
        double seconds = (plan.view().now() - deployed.lastUsed()) / NANOS_PER_SECOND;
        return 0.1 / (1 + Math.max(0, seconds));
    }
}
