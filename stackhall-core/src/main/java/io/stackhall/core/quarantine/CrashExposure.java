package io.stackhall.core.quarantine;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;

/**
 * One attempt of a request at an instance, as far as it may be the cause of a crash there. Not
 * thread-safe: one thread uses it.
 */
public final class CrashExposure {

    /**
     * A part of a prompt crashes its instance when the answer begins. After this time of the answer
     * it is none of the possible causes any more.
     */
    private static final Duration BEGINNING = Duration.ofMillis(500);

    private final RequestFingerprint fingerprint;
    private final Map<PromptPartDigest, Integer> rounds;
    private final long sentAt;
    private OptionalLong answerBegunAt = OptionalLong.empty();

    CrashExposure(
            RequestFingerprint fingerprint, Map<PromptPartDigest, Integer> rounds, long sentAt) {
        this.fingerprint = fingerprint;
        this.rounds = Map.copyOf(rounds);
        this.sentAt = sentAt;
    }

    /** Returns by what the request is recognized. */
    public RequestFingerprint fingerprint() {
        return fingerprint;
    }

    /** Returns when the request was sent, on the monotonic clock in nanoseconds. */
    public long sentAt() {
        return sentAt;
    }

    /** Records that a piece of the answer has arrived. */
    public void answerReceived(long now) {
        if (answerBegunAt.isEmpty()) {
            answerBegunAt = OptionalLong.of(now);
        }
    }

    /** Returns whether the parts of the prompt may cause a crash at this moment. */
    boolean mayPartsCrash(long now) {
        return answerBegunAt.isEmpty() || now - answerBegunAt.getAsLong() < BEGINNING.toNanos();
    }

    /** Returns the round of a part of the prompt, as of {@link Crash}, at the send. */
    int round(PromptPartDigest part) {
        return rounds.get(part);
    }
}
