package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import java.time.Duration;

/**
 * Judges for one request, each time it is looked at, whether it is sent, waits on or is given up.
 *
 * <p>What cannot come in time is not waited for: the request is given up at once, with the time
 * after which it is worth another try.
 */
public final class Admission {

    /** Beyond a load's own time: for the order to be given and for room to be made. */
    private static final Duration LOAD_OVERHEAD = Duration.ofMillis(300);

    /** From the order of a load, by way of the engine's answer, to the word of it at every host. */
    private static final Duration ANNOUNCEMENT_DELAY = Duration.ofMillis(500);

    /** Those that have waited for a load are served first. */
    private static final Duration BACKLOG_AFTER_LOAD = Duration.ofMillis(300);

    /** When nobody serves at all, the next heartbeats, 1.2 s apart, may bring someone. */
    private static final Duration NEXT_HEARTBEAT = Duration.ofMillis(1300);

    /** An adapter takes some ten milliseconds, and its engine may be busy with another order. */
    private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(500);

    /** Places come free at any moment. */
    private static final Duration SHORT_RETRY_DELAY = Duration.ofMillis(300);

    private static final String AT_LIMIT = "its instances are at the limits that they name";
    private static final String AT_REST = "its instances want rest";

    private static final double MILLIS_PER_SECOND = 1000;

    private final WaitBudget waitBudget;
    private final long objectiveUntil;

    /** What becomes of the request now. */
    public sealed interface Verdict {

        /** It is sent to this instance. */
        record Send(Instance instance, String why) implements Verdict {}

        /** It waits on. */
        record Wait(WaitReason reason) implements Verdict {}

        /** It waits on for its adapter, which is to be made resident on this instance. */
        record WaitForAdapter(Instance instance) implements Verdict {}

        /**
         * It is given up.
         *
         * @param retryAfter when it is worth another try
         */
        record GiveUp(String reason, Duration retryAfter) implements Verdict {}
    }

    /**
     * Creates the admission of a request that has just come or begun to wait again.
     *
     * @param latest when a send is of no use any more, on the monotonic clock in nanoseconds
     */
    public Admission(long latest) {
        this(latest, latest);
    }

    /**
     * Creates the admission of a request that has just come or begun to wait again.
     *
     * @param latest when a send is of no use any more, on the monotonic clock in nanoseconds
     * @param inTimeUntil until when a send may bring an answer within the objective
     */
    public Admission(long latest, long inTimeUntil) {
        this.waitBudget = new WaitBudget(latest);
        this.objectiveUntil = inTimeUntil;
    }

    /**
     * Judges.
     *
     * @param ahead how many requests for the same model are served before this one
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
            case Choice.Apart() ->
                    waitBudget.isExhausted(Duration.ZERO, now)
                            ? new Verdict.GiveUp(
                                    "requests that may end instances wait", SHORT_RETRY_DELAY)
                            : new Verdict.Wait(WaitReason.APART);
            case Choice.AllTried() ->
                    new Verdict.GiveUp(
                            "every instance of its service has been tried", SHORT_RETRY_DELAY);
        };
    }

    /**
     * A load that has begun is announced. Requests for models that no engine had at hand waited 13
     * of their 15 s for loads of 8 s that had not begun, and were refused (a calm day, 17 of 96).
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

    /** What cannot go to an instance in time may still go elsewhere; or else it is given up. */
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
            case Verdict.GiveUp(String without, Duration after) ->
                    new Verdict.GiveUp(
                            reason + ", " + without,
                            after.compareTo(expected) < 0 ? after : expected);
            case Verdict without -> without;
        };
    }

    /**
     * A limit that is asked for more than it allows serves the same number of requests whether they
     * wait or not: those who would wait beyond their objective would make all others late as well.
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
