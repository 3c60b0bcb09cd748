package io.stackhall.core.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/** What this host knows of the work on one instance: its own exactly, that of others as told. */
final class InstanceLoad {

    private static final long FIRST_SUSPICION_NANOS = Duration.ofMillis(800).toNanos();
    private static final long LONGEST_SUSPICION_NANOS = Duration.ofSeconds(4).toNanos();

    /** Told loads count half after this time: they describe others' work, which comes and goes. */
    private static final long REPORT_HALF_LIFE_NANOS = Duration.ofSeconds(1).toNanos();

    /** So short that the window alone decides until the first answers tell. */
    private static final double FIRST_STAY_NANOS = Duration.ofMillis(100).toNanos();

    /** One in this many requests counts in the mean time that they stay. */
    private static final double STAY_MEMORY = 16;

    private static final double NANOS_PER_SECOND = 1e9;

    /** One in this many words counts in the mean of what others have here. */
    private static final int OTHERS_MEMORY = 16;

    /**
     * What is told of others' requests is half forgotten after this share of the time that a
     * request stays: by then they have come and gone. Held for longer, a word sends all hosts that
     * heard it to the same instance: with 89 hosts at 84% of three instances 88.2% of the requests
     * were in time, now 94.0% (replay of clumps, 20 seeds).
     */
    private static final double TOLD_HOLDS_SHARE = 0.25;

    /** One in this many outcomes counts in the share of failures. */
    private static final double FAILURE_MEMORY = 8;

    /** Prompt parts remembered for each instance: a few thousand tokens each fill its memory. */
    private static final int REMEMBERED_PARTS = 256;

    private final Deque<Long> unanswered = new ArrayDeque<>();
    private final PromptWindow window = new PromptWindow();
    private final Map<String, Long> parts =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > REMEMBERED_PARTS;
                }
            };
    private int running;
    private long pendingTokens;
    private double others;
    private double meanOthers;
    private int timesTold;
    private long othersUnread;
    private long othersUnreadAt;
    private long othersToldAt;
    private boolean tellsItself;
    private int answers;
    private int slowAnswers;
    private double meanStayNanos = FIRST_STAY_NANOS;
    private long lastBegun;
    private long suspectedUntil;
    private int suspicions;
    private double failureShare;

    void began(long tokens, long now) {
        running++;
        pendingTokens += tokens;
        unanswered.addLast(now);
        lastBegun = now;
    }

    /**
     * Notes the first event of a request.
     *
     * @param objective the shortest of those who ask the instance
     */
    void firstEvent(long startedAt, long now, Duration objective) {
        window.answeredAfter(now - startedAt, objective);
        answers++;
        slowAnswers += PromptWindow.slow(now - startedAt, objective) ? 1 : 0;
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
    boolean takesPrompt(boolean late, long now) {
        return window.admits(unanswered.size(), late, now - lastBegun);
    }

    /**
     * Returns how many requests a second this host can send here: what its window allows, or its
     * share of the slots that come free, whichever is less.
     */
    double placesPerSecond(int slots, long now) {
        double share = Math.max(1, running) / Math.max(1, occupancy(now));
        double freed = slots * share * NANOS_PER_SECOND / meanStayNanos;
        return Math.min(window.placesPerSecond(), freed);
    }

    void answered(long tokens, long startedAt) {
        pendingTokens = Math.max(0, pendingTokens - tokens);
        unanswered.removeFirstOccurrence(startedAt);
    }

    /** Notes that a request has left that was not served. */
    void left() {
        running = Math.max(0, running - 1);
    }

    /**
     * Notes that a request has left that was served.
     *
     * @param nanos how long it was here
     */
    void ended(long nanos) {
        left();
        meanStayNanos += (nanos - meanStayNanos) / STAY_MEMORY;
    }

    /** Takes in the instance's own word, which counts all hosts' requests. */
    void told(int runningAndWaiting, long now) {
        others(Math.max(0, runningAndWaiting - running));
        othersToldAt = now;
        tellsItself = true;
    }

    /** Takes in what other hosts say of their requests, unless the instance has told of late. */
    void othersTold(int requests, long now) {
        if (tellsItself && now - othersToldAt < REPORT_HALF_LIFE_NANOS) {
            return;
        }
        others(requests);
        othersToldAt = now;
        tellsItself = false;
    }

    /** Returns this host's share of what there is to read, one prompt more of its own included. */
    double shareOfUnread(ReadingPace pace, long tokens, long now) {
        double own = pendingTokens + Math.max(1, tokens);
        return own / (unread(pace, now) + Math.max(1, tokens));
    }

    private void others(double told) {
        others = told;
        timesTold++;
        meanOthers += (told - meanOthers) / Math.min(timesTold, OTHERS_MEMORY);
    }

    /** Takes in how many tokens of their prompts other hosts have here that are not read yet. */
    void othersUnreadTold(long tokens, long now) {
        othersUnread = tokens;
        othersUnreadAt = now;
    }

    /** Returns the tokens of all hosts' prompts that are not read yet, as far as is known. */
    double unread(ReadingPace pace, long now) {
        double readSince = othersUnread == 0 ? 0 : pace.tokensIn(now - othersUnreadAt);
        return pendingTokens + Math.max(0, othersUnread - readSince);
    }

    void suspect(long now) {
        suspicions++;
        long period = FIRST_SUSPICION_NANOS << Math.min(suspicions - 1, 3);
        suspectedUntil = now + Math.min(period, LONGEST_SUSPICION_NANOS);
    }

    void trust() {
        suspicions = 0;
        suspectedUntil = 0;
    }

    void outcome(boolean good) {
        double sample = good ? 0 : 1;
        failureShare += (sample - failureShare) / FAILURE_MEMORY;
    }

    boolean suspected(long now) {
        return suspectedUntil != 0 && now - suspectedUntil < 0;
    }

    /** Returns whether a request has waited for an answer for longer than a time. */
    boolean silentFor(long nanos, long now) {
        return !unanswered.isEmpty() && now - unanswered.peekFirst() > nanos;
    }

    int running() {
        return running;
    }

    double occupancy(long now) {
        return running + othersNow(now);
    }

    /**
     * Returns how many requests are here if others come and go as they use to: what was told last
     * counts less and less beside their mean.
     */
    double usualOccupancy(long now) {
        double halves = (now - othersToldAt) / (TOLD_HOLDS_SHARE * meanStayNanos);
        return running + meanOthers + (others - meanOthers) * Math.pow(0.5, Math.max(0, halves));
    }

    long pendingTokens() {
        return pendingTokens;
    }

    double failureShare() {
        return failureShare;
    }

    void read(String part, long now) {
        parts.put(part, now);
    }

    /** Returns the tokens of a request's prompt that this host did not see read here. */
    long unreadOf(Need need) {
        long unread = need.promptTokens();
        for (PromptPart part : need.parts()) {
            if (!parts.containsKey(part.id())) {
                break;
            }
            unread -= part.tokens();
        }
        return Math.max(0, unread);
    }

    double othersNow(long now) {
        double halves = (double) (now - othersToldAt) / REPORT_HALF_LIFE_NANOS;
        return others * Math.pow(0.5, Math.max(0, halves));
    }
}
