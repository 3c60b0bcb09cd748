package io.stackhall.core.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/** What this host knows of the work on one instance: its own exactly, that of others as told. */
final class InstanceLoad {

    private static final long INITIAL_BACKOFF_NANOS = Duration.ofMillis(800).toNanos();
    private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(4).toNanos();

    /** Told loads count half after this time: they describe others' work, which comes and goes. */
    private static final long REPORT_HALF_LIFE_NANOS = Duration.ofSeconds(1).toNanos();

    /** So short that the window alone decides until the first answers tell. */
    private static final double INITIAL_DURATION_NANOS = Duration.ofMillis(100).toNanos();

    /** One in this many requests counts in the mean time that they stay. */
    private static final double DURATION_MEMORY = 16;

    private static final double NANOS_PER_SECOND = 1e9;

    /** One in this many words counts in the mean of what others have here. */
    private static final int REMOTE_MEMORY = 16;

    /**
     * What is told of others' requests is half forgotten after this share of the time that a
     * request stays: by then they have come and gone. Held for longer, a word sends all hosts that
     * heard it to the same instance: with 89 hosts at 84% of three instances 88.2% of the requests
     * were in time, now 94.0% (replay of clumps, 20 seeds).
     */
    private static final double REMOTE_HALF_LIFE_SHARE = 0.25;

    /** One in this many outcomes counts in the share of failures. */
    private static final double FAILURE_MEMORY = 8;

    /** Prompt parts remembered for each instance: a few thousand tokens each fill its memory. */
    private static final int REMEMBERED_PARTS = 256;

    private final Deque<Long> unanswered = new ArrayDeque<>();
    private final PromptWindow promptWindow = new PromptWindow();
    private final Map<String, Long> processedParts =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > REMEMBERED_PARTS;
                }
            };
    private int running;
    private long ownUnreadTokens;
    private double remoteRequests;
    private double meanRemoteRequests;
    private int remoteUpdates;
    private long remoteUnreadTokens;
    private long remoteUnreadAt;
    private long remoteRequestsAt;
    private boolean selfReported;
    private int answers;
    private int slowAnswers;
    private double meanDurationNanos = INITIAL_DURATION_NANOS;
    private long lastSentAt;
    private long backoffUntil;
    private int consecutiveFailures;
    private double failureShare;

    void requestSent(long tokens, long now) {
        running++;
        ownUnreadTokens += tokens;
        unanswered.addLast(now);
        lastSentAt = now;
    }

    /**
     * Notes the first event of a request.
     *
     * @param objective the shortest of those who ask the instance
     */
    void recordFirstEvent(long startedAt, long now, Duration objective) {
        promptWindow.recordFirstEvent(now - startedAt, objective);
        answers++;
        slowAnswers += PromptWindow.isSlow(now - startedAt, objective) ? 1 : 0;
    }

    /** Takes what there is to tell other hosts. */
    InstanceWork takeWork() {
        InstanceWork work = new InstanceWork(running, answers, slowAnswers);
        answers = 0;
        slowAnswers = 0;
        return work;
    }

    /**
     * Returns whether one more prompt may be sent before those sent are read.
     *
     * @param late whether its answer can only be late
     */
    boolean admitsPrompt(boolean late, long now) {
        return promptWindow.admits(unanswered.size(), late, now - lastSentAt);
    }

    /**
     * Returns how many requests a second this host can send here: what its window allows, or its
     * share of the slots that come free, whichever is less.
     */
    double requestsPerSecond(int slots, long now) {
        double share = Math.max(1, running) / Math.max(1, occupancy(now));
        double freed = slots * share * NANOS_PER_SECOND / meanDurationNanos;
        return Math.min(promptWindow.promptsPerSecond(), freed);
    }

    void responseStarted(long tokens, long startedAt) {
        ownUnreadTokens = Math.max(0, ownUnreadTokens - tokens);
        unanswered.removeFirstOccurrence(startedAt);
    }

    /** Notes that a request has left that was not served. */
    void unservedRequestEnded() {
        running = Math.max(0, running - 1);
    }

    /**
     * Notes that a request has left that was served.
     *
     * @param nanos how long it was here
     */
    void servedRequestEnded(long nanos) {
        unservedRequestEnded();
        meanDurationNanos += (nanos - meanDurationNanos) / DURATION_MEMORY;
    }

    /** Takes in the instance's own word, which counts all hosts' requests. */
    void updateReported(int runningAndWaiting, long now) {
        remoteRequests(Math.max(0, runningAndWaiting - running));
        remoteRequestsAt = now;
        selfReported = true;
    }

    /** Takes in what other hosts say of their requests, unless the instance has told of late. */
    void updateRemoteRequests(int requests, long now) {
        if (selfReported && now - remoteRequestsAt < REPORT_HALF_LIFE_NANOS) {
            return;
        }
        remoteRequests(requests);
        remoteRequestsAt = now;
        selfReported = false;
    }

    /** Returns this host's share of what there is to read, one prompt more of its own included. */
    double shareOfUnread(PrefillRate pace, long tokens, long now) {
        double own = ownUnreadTokens + Math.max(1, tokens);
        return own / (unreadTokens(pace, now) + Math.max(1, tokens));
    }

    private void remoteRequests(double told) {
        remoteRequests = told;
        remoteUpdates++;
        meanRemoteRequests += (told - meanRemoteRequests) / Math.min(remoteUpdates, REMOTE_MEMORY);
    }

    /** Takes in how many tokens of their prompts other hosts have here that are not read yet. */
    void updateRemoteUnreadTokens(long tokens, long now) {
        remoteUnreadTokens = tokens;
        remoteUnreadAt = now;
    }

    /** Returns the tokens of all hosts' prompts that are not read yet, as far as is known. */
    double unreadTokens(PrefillRate pace, long now) {
        double readSince = remoteUnreadTokens == 0 ? 0 : pace.tokensIn(now - remoteUnreadAt);
        return ownUnreadTokens + Math.max(0, remoteUnreadTokens - readSince);
    }

    void backOff(long now) {
        consecutiveFailures++;
        long period = INITIAL_BACKOFF_NANOS << Math.min(consecutiveFailures - 1, 3);
        backoffUntil = now + Math.min(period, MAX_BACKOFF_NANOS);
    }

    void resetBackoff() {
        consecutiveFailures = 0;
        backoffUntil = 0;
    }

    void recordOutcome(boolean good) {
        double sample = good ? 0 : 1;
        failureShare += (sample - failureShare) / FAILURE_MEMORY;
    }

    boolean inBackoff(long now) {
        return backoffUntil != 0 && now - backoffUntil < 0;
    }

    /** Returns whether a request has waited for an answer for longer than a time. */
    boolean isSilentFor(long nanos, long now) {
        return !unanswered.isEmpty() && now - unanswered.peekFirst() > nanos;
    }

    int running() {
        return running;
    }

    double occupancy(long now) {
        return running + remoteRequestsNow(now);
    }

    /**
     * Returns how many requests are here if others come and go as they use to: what was told last
     * counts less and less beside their mean.
     */
    double expectedOccupancy(long now) {
        double halves = (now - remoteRequestsAt) / (REMOTE_HALF_LIFE_SHARE * meanDurationNanos);
        return running
                + meanRemoteRequests
                + (remoteRequests - meanRemoteRequests) * Math.pow(0.5, Math.max(0, halves));
    }

    long ownUnreadTokens() {
        return ownUnreadTokens;
    }

    double failureShare() {
        return failureShare;
    }

    void rememberPart(String part, long now) {
        processedParts.put(part, now);
    }

    /** Returns the tokens of a request's prompt that this host did not see read here. */
    long uncachedTokens(Need need) {
        long unread = need.promptTokens();
        for (PromptPart part : need.parts()) {
            if (!processedParts.containsKey(part.id())) {
                break;
            }
            unread -= part.tokens();
        }
        return Math.max(0, unread);
    }

    double remoteRequestsNow(long now) {
        double halves = (double) (now - remoteRequestsAt) / REPORT_HALF_LIFE_NANOS;
        return remoteRequests * Math.pow(0.5, Math.max(0, halves));
    }
}
