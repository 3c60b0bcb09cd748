package io.stackhall.core.policy;

import java.util.Optional;

/** What copies of models are worth, in service and at hand, for the policy that places them. */
final class CopyValue {

    /** The worth of a first copy, for each request a second. */
    private static final double FIRST_COPY_VALUE = 10;

    /** Even a model that nobody asks for keeps one place rather than none. */
    private static final double IDLE_COPY_VALUE = 0.2;

    /** Where one engine alone keeps the weights at hand, it may be busy when they are asked for. */
    private static final double ONLY_LOCAL_COPY_VALUE = 1.5;

    /**
     * A second copy also serves while the engine of the first is lost or busy with a load, and is
     * there when demand grows, for each request a second: a model that is asked for twice a second
     * is worth a load of 9 s from the store.
     */
    private static final double SECOND_COPY_VALUE = 5;

    /** The worth of a further copy, for each request a second and each mean service time saved. */
    private static final double QUEUEING_RELIEF_VALUE = 0.5;

    /** Up to this utilization the queue is that of one server with random arrivals. */
    private static final double MAX_QUEUE_MODEL_UTILIZATION = 0.8;

    /**
     * The risk of a model whose weights one engine alone keeps at hand; it falls by the square of
     * their number. On one day of trouble the six disks that had kept a model lost it to loads of
     * others; asked for 12 times a second, it was then refused 114 times.
     */
    private static final double SINGLE_LOCATION_RISK = 20;

    /** A model whose weights no engine keeps at hand cannot be served within a deadline at all. */
    private static final double NO_LOCATION_RISK = 40;

    private static final double NANOS_PER_SECOND = 1e9;

    private CopyValue() {}

    /**
     * Returns what a load from the store costs by the copy at hand that gives way to its own: the
     * mean over those that the engine keeps and does not serve, as which one goes is not known.
     */
    static double displacementCost(PlacementPlan planning, PlacementView.Engine seat) {
        return seat.localLoadTimes().keySet().stream()
                .filter(model -> !seat.holds(model))
                .mapToLong(model -> planning.weightLocations().locations(model))
                .mapToDouble(homes -> locationRisk(homes - 1) - locationRisk(homes))
                .average()
                .orElse(0);
    }

    /**
     * Returns what one more engine with a model's weights at hand is worth: a further one nothing
     * while requests wait, for which the engines should be free.
     */
    static double ofWeightLocation(PlacementPlan planning, PlacementView.DeployedArtifact want) {
        long homes = planning.weightLocations().locations(want.artifact().id());
        return homes == 0 || planning.noneWaiting()
                ? locationRisk(homes) - locationRisk(homes + 1)
                : 0;
    }

    /** Returns the expected loss by a model whose weights some engines keep at hand. */
    private static double locationRisk(long homes) {
        return homes == 0 ? NO_LOCATION_RISK : SINGLE_LOCATION_RISK / (homes * homes);
    }

    /** Returns what one more copy is worth, beside those that are there or coming. */
    static double ofNextCopy(PlacementPlan planning, PlacementView.DeployedArtifact want) {
        int next = planning.copies(want.artifact()) + planning.pendingLoads(want.artifact()) + 1;
        return ofCopy(planning, want, next);
    }

    /** Returns what is lost with one of the copies there are. */
    static double ofResidentCopy(PlacementPlan planning, PlacementView.ResidentArtifact held) {
        Optional<PlacementView.DeployedArtifact> want = planning.deployed(held.artifact().id());
        if (want.isEmpty()) {
            return 0;
        }
        int copies = Math.max(1, planning.copies(held.artifact()));
        boolean rare =
                copies == 1 && planning.weightLocations().localCopies(held.artifact().id()) <= 1;
        return ofCopy(planning, want.get(), copies)
                + recencyValue(planning, want.get())
                + (rare ? ONLY_LOCAL_COPY_VALUE : 0);
    }

    static double ofCopy(PlacementPlan planning, PlacementView.DeployedArtifact want, int copy) {
        double rate = want.ratePerSecond();
        if (copy <= 1) {
            return FIRST_COPY_VALUE * rate + IDLE_COPY_VALUE + want.waiting();
        }
        double most = planning.view().saturatingRate();
        double relief = meanWait(rate / (copy - 1) / most) - meanWait(rate / copy / most);
        double spare = copy == 2 ? SECOND_COPY_VALUE * rate : 0;
        return QUEUEING_RELIEF_VALUE * rate * relief + spare;
    }

    /**
     * Returns the mean wait at an engine, in service times; beyond the knee it goes on straight.
     */
    private static double meanWait(double utilization) {
        if (utilization <= MAX_QUEUE_MODEL_UTILIZATION) {
            return utilization / (1 - utilization);
        }
        double slope = 1 / ((1 - MAX_QUEUE_MODEL_UTILIZATION) * (1 - MAX_QUEUE_MODEL_UTILIZATION));
        return MAX_QUEUE_MODEL_UTILIZATION / (1 - MAX_QUEUE_MODEL_UTILIZATION)
                + slope * (utilization - MAX_QUEUE_MODEL_UTILIZATION);
    }

    /** Among equals the one asked for longest ago goes first. */
    private static double recencyValue(
            PlacementPlan planning, PlacementView.DeployedArtifact want) {
        double seconds = (planning.view().now() - want.lastUsed()) / NANOS_PER_SECOND;
        return 0.1 / (1 + Math.max(0, seconds));
    }
}
