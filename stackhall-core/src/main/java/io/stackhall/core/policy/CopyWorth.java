package io.stackhall.core.policy;

import java.util.Optional;

/** What copies of models are worth, in service and at hand, for the policy that places them. */
final class CopyWorth {

    /** The worth of a first copy, for each request a second. */
    private static final double FIRST_COPY_WORTH = 10;

    /** Even a model that nobody asks for keeps one place rather than none. */
    private static final double IDLE_COPY_WORTH = 0.2;

    /** Where one engine alone keeps the weights at hand, it may be busy when they are asked for. */
    private static final double RARE_COPY_WORTH = 1.5;

    /**
     * A second copy also serves while the engine of the first is lost or busy with a load, and is
     * there when demand grows, for each request a second: a model that is asked for twice a second
     * is worth a load of 9 s from the store.
     */
    private static final double SPARE_COPY_WORTH = 5;

    /** The worth of a further copy, for each request a second and each mean service time saved. */
    private static final double RELIEF_WORTH = 0.5;

    /** Up to this utilization the queue is that of one server with random arrivals. */
    private static final double QUEUE_KNEE = 0.8;

    /**
     * The risk of a model whose weights one engine alone keeps at hand; it falls by the square of
     * their number. On one day of trouble the six disks that had kept a model lost it to loads of
     * others; asked for 12 times a second, it was then refused 114 times.
     */
    private static final double ONE_HOME_RISK = 20;

    /** A model whose weights no engine keeps at hand cannot be served within a deadline at all. */
    private static final double NO_HOME_RISK = 40;

    private static final double NANOS_PER_SECOND = 1e9;

    private CopyWorth() {}

    /**
     * Returns what a load from the store costs by the copy at hand that gives way to its own: the
     * mean over those that the engine keeps and does not serve, as which one goes is not known.
     */
    static double displaced(Planning planning, PlacementView.Seat seat) {
        return seat.nearCopies().keySet().stream()
                .filter(model -> !seat.holds(model))
                .mapToLong(model -> planning.homes().homes(model))
                .mapToDouble(homes -> homesRisk(homes - 1) - homesRisk(homes))
                .average()
                .orElse(0);
    }

    /**
     * Returns what one more engine with a model's weights at hand is worth: a further one nothing
     * while requests wait, for which the engines should be free.
     */
    static double ofHome(Planning planning, PlacementView.Want want) {
        long homes = planning.homes().homes(want.artifact().id());
        return homes == 0 || planning.calm() ? homesRisk(homes) - homesRisk(homes + 1) : 0;
    }

    /** Returns the expected loss by a model whose weights some engines keep at hand. */
    private static double homesRisk(long homes) {
        return homes == 0 ? NO_HOME_RISK : ONE_HOME_RISK / (homes * homes);
    }

    /** Returns what one more copy is worth, beside those that are there or coming. */
    static double ofNext(Planning planning, PlacementView.Want want) {
        int next = planning.copies(want.artifact()) + planning.coming(want.artifact()) + 1;
        return ofCopy(planning, want, next);
    }

    /** Returns what is lost with one of the copies there are. */
    static double ofLast(Planning planning, PlacementView.Held held) {
        Optional<PlacementView.Want> want = planning.want(held.artifact().id());
        if (want.isEmpty()) {
            return 0;
        }
        int copies = Math.max(1, planning.copies(held.artifact()));
        boolean rare = copies == 1 && planning.homes().near(held.artifact().id()) <= 1;
        return ofCopy(planning, want.get(), copies)
                + recency(planning, want.get())
                + (rare ? RARE_COPY_WORTH : 0);
    }

    static double ofCopy(Planning planning, PlacementView.Want want, int copy) {
        double rate = want.ratePerSecond();
        if (copy <= 1) {
            return FIRST_COPY_WORTH * rate + IDLE_COPY_WORTH + want.waiting();
        }
        double most = planning.view().saturatingRate();
        double relief = queueing(rate / (copy - 1) / most) - queueing(rate / copy / most);
        double spare = copy == 2 ? SPARE_COPY_WORTH * rate : 0;
        return RELIEF_WORTH * rate * relief + spare;
    }

    /**
     * Returns the mean wait at an engine, in service times; beyond the knee it goes on straight.
     */
    private static double queueing(double utilization) {
        if (utilization <= QUEUE_KNEE) {
            return utilization / (1 - utilization);
        }
        double slope = 1 / ((1 - QUEUE_KNEE) * (1 - QUEUE_KNEE));
        return QUEUE_KNEE / (1 - QUEUE_KNEE) + slope * (utilization - QUEUE_KNEE);
    }

    /** Among equals the one asked for longest ago goes first. */
    private static double recency(Planning planning, PlacementView.Want want) {
        double seconds = (planning.view().now() - want.lastUsed()) / NANOS_PER_SECOND;
        return 0.1 / (1 + Math.max(0, seconds));
    }
}
