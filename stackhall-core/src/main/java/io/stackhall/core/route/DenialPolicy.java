package io.stackhall.core.route;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether an entry host may deny a request because its active configuration does not allow
 * it.
 *
 * <p>A denial is final: its caller does not try again. It is wrong if a newer configuration, which
 * this host has not received yet, allows the request. A change has to be active on every host
 * within a fixed time of its acknowledgement, so a denial is right for that time after the host has
 * asked a quorum which configuration is the newest. A host whose last confirmation is older asks
 * first and holds the request meanwhile; while no quorum answers, the request is refused with a
 * retry delay. Requests that the active configuration allows are not affected: a host that is cut
 * off serves on.
 *
 * <p>All requests that are held share one question, and one confirmation serves all denials until
 * it is stale, so that a flood of unknown paths costs a host a few questions per second.
 *
 * <p>Moments are in nanoseconds, of a clock that keeps running while the machine is suspended. Not
 * thread-safe.
 */
public final class DenialPolicy {

    /**
     * A quorum answers within some milliseconds. If it takes longer, a leader is being elected, and
     * the caller is better off with a retry delay.
     */
    public static final Duration ANSWER_TIMEOUT = Duration.ofMillis(400);

    /** By then a leader is usually elected. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** The rest of the staleness covers the way of the denial to its caller. */
    private static final int USABLE_PERCENT = 50;

    private static final int PERCENT = 100;

    private final Duration validity;
    private boolean everConfirmed;
    private long confirmedAt;
    private boolean unanswered;
    private long firstAskedAt;
    private long lastAskedAt;

    /** What becomes of a request that the active configuration does not allow. */
    public sealed interface Verdict {

        /** It is denied. */
        record Deny() implements Verdict {}

        /**
         * It is held until a quorum has answered, {@link #ANSWER_TIMEOUT} at most.
         *
         * @param ask whether a question has to be sent for it
         */
        record Hold(boolean ask) implements Verdict {}

        /**
         * It is refused, as no quorum answers.
         *
         * @param ask whether a question has to be sent for those that come after it
         */
        record Refuse(Duration retryAfter, boolean ask) implements Verdict {}
    }

    /**
     * Creates the policy of a host that no quorum has confirmed.
     *
     * @param staleness the time after its acknowledgement within which a configuration is active on
     *     every host
     */
    public DenialPolicy(Duration staleness) {
        this.validity = staleness.multipliedBy(USABLE_PERCENT).dividedBy(PERCENT);
    }

    /**
     * Records that a quorum has confirmed the active configuration, or an older one, as the newest.
     *
     * @param askedAt when this host asked for it
     */
    public void confirmed(long askedAt) {
        if (!everConfirmed || askedAt - confirmedAt > 0) {
            everConfirmed = true;
            confirmedAt = askedAt;
            unanswered = unanswered && askedAt - firstAskedAt < 0;
        }
    }

    /**
     * Returns the time since the host asked for the last confirmation that it received; empty if it
     * has received none.
     */
    public Optional<Duration> confirmationAge(long now) {
        return everConfirmed ? Optional.of(Duration.ofNanos(now - confirmedAt)) : Optional.empty();
    }

    /** Decides on a request that the active configuration does not allow. */
    public Verdict decide(long now) {
        if (everConfirmed && now - confirmedAt < validity.toNanos()) {
            return new Verdict.Deny();
        }
        boolean due = isQuestionDue(now);
        if (due) {
            recordQuestion(now);
        }
        return now - firstAskedAt < ANSWER_TIMEOUT.toNanos()
                ? new Verdict.Hold(due)
                : new Verdict.Refuse(RETRY_DELAY, due);
    }

    private boolean isQuestionDue(long now) {
        return !unanswered || now - lastAskedAt >= ANSWER_TIMEOUT.toNanos();
    }

    /** Questions that were asked long ago say nothing about whether a quorum answers now. */
    private void recordQuestion(long now) {
        if (!unanswered || now - lastAskedAt >= validity.toNanos()) {
            firstAskedAt = now;
        }
        unanswered = true;
        lastAskedAt = now;
    }
}
