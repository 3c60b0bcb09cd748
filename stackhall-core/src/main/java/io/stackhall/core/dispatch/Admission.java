package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import java.time.Duration;

/**
 * Decides for one waiting request, each time it is reconsidered, whether it is sent, keeps waiting
 * or is refused.
 *
 * <p>A request does not wait for something that cannot arrive before its deadline: it is refused at
 * once, with the time after which a retry makes sense.
 */
public final class Admission {

    /** Added to the load time of a model, for issuing the load order and for freeing memory. */
    private static final Duration LOAD_OVERHEAD = Duration.ofMillis(300);

    /**
     * Time from issuing a load order, through the answer of the engine, until every host has been
     * notified of the load.
     */
    private static final Duration ANNOUNCEMENT_DELAY = Duration.ofMillis(500);

    /** Time after a load in which the requests that already waited for it are served first. */
    private static final Duration BACKLOG_AFTER_LOAD = Duration.ofMillis(300);

    /**
     * Time until the next heartbeats, which are 1.2 s apart, when no instance of a service is
     * known.
     */
    private static final Duration NEXT_HEARTBEAT = Duration.ofMillis(1300);

    /**
     * Loading an adapter takes some ten milliseconds, but its engine may be busy with another
     * order.
     */
    private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(500);

    /** Retry delay for requests that wait for a slot, since slots become free at any moment. */
    private static final Duration SHORT_RETRY_DELAY = Duration.ofMillis(300);

    private static final String AT_LIMIT = "its instances are at the limits that they name";
    private static final String AT_REST = "its instances want rest";

    private static final double MILLIS_PER_SECOND = 1000;

    private final WaitBudget waitBudget;
    private final long objectiveUntil;

    /** The decision about a request. */
    public sealed interface Verdict {

        /** The request is sent to this instance. */
        record Send(Instance instance, String why) implements Verdict {}

        /** The request keeps waiting. */
        record Wait(WaitReason reason) implements Verdict {}

        /** The request keeps waiting for its adapter, which is to be loaded on this instance. */
        record WaitForAdapter(Instance instance) implements Verdict {}

        /**
         * The request is refused.
         *
         * @param retryAfter the time after which a retry makes sense
         */
        record GiveUp(String reason, Duration retryAfter) implements Verdict {}
    }

    /**
     * Creates the admission control of a request that has just arrived or starts to wait again, and
     * for which any answer before the deadline is good enough.
     *
     * @param latest the time after which sending is useless, on the monotonic clock in nanoseconds
     */
    public Admission(long latest) {
        this(latest, latest);
    }

    /**
     * Creates the admission control of a request that has just arrived or starts to wait again.
     *
     * @param latest the time after which sending is useless, on the monotonic clock in nanoseconds
     * @param objectiveUntil the last time at which a send may still be answered within the latency
     *     objective
     */
    public Admission(long latest, long objectiveUntil) {
        this.waitBudget = new WaitBudget(latest);
        this.objectiveUntil = objectiveUntil;
    }

    /**
     * Decides what happens to the request, given the choice that the dispatcher has made for it.
     *
     * @param ahead the number of requests for the same model that are served before this one
     */
    public Verdict decide(Choice choice, int ahead, long now) {
        return switch (choice) {
            case Choice.Send(Instance instance, String why) -> new Verdict.Send(instance, why);
            case Choice.AdapterMissing(Instance instance) ->
                    waitBudget.isExhausted(ADAPTER_LOAD_TIME, now)
                            ? new Verdict.GiveUp("its adapter is not resident", ADAPTER_LOAD_TIME)
                            : new Verdict.WaitForAdapter(instance);
            case Choice.Full(double placesPerSecond) -> full(placesPerSecond, ahead, now);
            case Choice.HeldBack held -> heldBack(held, ahead, now);
            case Choice.ModelMissing(Duration load) -> modelMissing(load, now);
            case Choice.ModelComing(Duration left) ->
                    waitBudget.isDueTooLate(left, now)
                            ? new Verdict.GiveUp(
                                    "the load of its model ends too late",
                                    left.plus(BACKLOG_AFTER_LOAD))
                            : new Verdict.Wait(WaitReason.MODEL_LOADING);
            case Choice.NobodyServes() ->
                    waitFor(
                            NEXT_HEARTBEAT,
                            WaitReason.NO_INSTANCE,
                            "no instance of its service is known",
                            now);
            case Choice.VersionMissing() ->
                    new Verdict.GiveUp(
                            "no instance of the software that began the stream serves it",
                            NEXT_HEARTBEAT);
            case Choice.Apart() ->
                    waitBudget.isExhausted(Duration.ZERO, now)
                            ? new Verdict.GiveUp(
                                    "requests that may end instances wait", SHORT_RETRY_DELAY)
                            : new Verdict.Wait(WaitReason.APART);
            case Choice.NoPath(Duration retryAfter) ->
                    new Verdict.GiveUp("this host reaches no instance", retryAfter);
            case Choice.AllTried() ->
                    new Verdict.GiveUp(
                            "every instance of its service has been tried", SHORT_RETRY_DELAY);
        };
    }

    /**
     * Decides about a request whose model no engine holds or loads. A load that has started is
     * announced, so at least the load time less {@link #ANNOUNCEMENT_DELAY} is still ahead. Without
     * this check, requests for models that no engine held waited 13 of their 15 s for loads of 8 s
     * that had not started, and were then refused (17 of 96 on a quiet day).
     */
    private Verdict modelMissing(Duration load, long now) {
        String reason = "its model is not resident";
        Duration expected = load.plus(LOAD_OVERHEAD);
        return waitBudget.wouldMissDeadline(load.minus(ANNOUNCEMENT_DELAY), now)
                ? new Verdict.GiveUp(reason, expected)
                : waitFor(expected, WaitReason.MODEL_ABSENT, reason, now);
    }

    private Verdict waitFor(Duration expected, WaitReason wait, String reason, long now) {
        return waitBudget.isExhausted(expected, now)
                ? new Verdict.GiveUp(reason, expected)
                : new Verdict.Wait(wait);
    }

    /**
     * Waits for the limit or rest to end if that is soon enough, else tries the alternative, else
     * refuses.
     */
    private Verdict heldBack(Choice.HeldBack held, int ahead, long now) {
        Duration expected = held.expectedWait(ahead);
        if (meetsObjective(expected, now) && !waitBudget.wouldMissDeadline(expected, now)) {
            waitBudget.startWaiting();
            return new Verdict.Wait(held.reason());
        }
        String reason = held.reason() == WaitReason.REST ? AT_REST : AT_LIMIT;
        if (held.otherwise().isEmpty()) {
            return new Verdict.GiveUp(reason, expected);
        }
        return switch (decide(held.otherwise().get(), ahead, now)) {
            case Verdict.GiveUp(String otherReason, Duration otherRetry) ->
                    new Verdict.GiveUp(
                            reason + ", " + otherReason,
                            otherRetry.compareTo(expected) < 0 ? otherRetry : expected);
            case Verdict other -> other;
        };
    }

    /**
     * Returns whether waiting for the given time still meets the latency objective. An instance
     * with a limit serves the same number of requests whether they wait or not, so requests that
     * would wait beyond their objective would only make all others late as well.
     */
    private boolean meetsObjective(Duration expected, long now) {
        boolean inTime = now + expected.toNanos() - objectiveUntil <= 0;
        return inTime || expected.compareTo(SHORT_RETRY_DELAY) <= 0;
    }

    private Verdict full(double placesPerSecond, int ahead, long now) {
        if (placesPerSecond > 0) {
            long millis = Math.round(ahead / placesPerSecond * MILLIS_PER_SECOND);
            Duration expected = Duration.ofMillis(millis);
            if (waitBudget.isDueTooLate(expected, now)) {
                return new Verdict.GiveUp(
                        "too many wait for its model",
                        expected.compareTo(SHORT_RETRY_DELAY) < 0 ? SHORT_RETRY_DELAY : expected);
            }
        }
        return waitBudget.isExhausted(Duration.ZERO, now)
                ? new Verdict.GiveUp("every instance is full", SHORT_RETRY_DELAY)
                : new Verdict.Wait(WaitReason.FULL);
    }
}
