package io.stackhall.core.dispatch;

import io.stackhall.core.overload.LoopDelayMeter;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The work on one instance: exact for the requests of this host, and as last reported for those of
 * other hosts.
 */
final class InstanceLoad {

    /**
     * A running request slows down a batch about as much as this many prompt tokens delay it once.
     */
    private static final double TOKENS_PER_RUNNING = 60;

    private static final long INITIAL_BACKOFF_NANOS = Duration.ofMillis(800).toNanos();
    private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(4).toNanos();

    /**
     * Half-life of a reported load, since it describes requests of other hosts, which come and go.
     */
    private static final double REPORT_HALF_LIFE_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * Initial mean duration of a request: so short that only the prompt window counts until the
     * first answers.
     */
    private static final double INITIAL_DURATION_NANOS = Duration.ofMillis(100).toNanos();

    /** The mean duration weights each new request by one over this number. */
    private static final double DURATION_MEMORY = 16;

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * The means of what other hosts have at the instance weight each new report by one over this
     * number.
     */
    private static final int REMOTE_MEMORY = 16;

    /**
     * Half-life of the reported requests of other hosts, as a share of the mean duration of a
     * request: by then they have come and gone. With a longer half-life, one report sends all hosts
     * that received it to the same instance: with 89 hosts at 84% load of three instances 88.2% of
     * the requests met their objective, now 94.0% (simulation of batched arrivals, 20 seeds).
     */
    private static final double REMOTE_HALF_LIFE_SHARE = 0.25;

    /**
     * Half-life of the reported prompt tokens of other hosts: an engine that meets its latency
     * objective processes a prompt in about this time.
     */
    private static final double UNREAD_HALF_LIFE_NANOS = Duration.ofMillis(100).toNanos();

    /** The failure share weights each new outcome by one over this number. */
    private static final double FAILURE_MEMORY = 8;

    /**
     * Prompt parts remembered for each instance: its cache is full after as many parts of a few
     * thousand tokens.
     */
    private static final int REMEMBERED_PARTS = 256;

    private final LoopDelayMeter hostDelay;
    private final Deque<Long> unanswered = new ArrayDeque<>();
    private final PromptWindow promptWindow = new PromptWindow();
    private final PrefillRate prefillRate = new PrefillRate();
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
    private double meanRemoteUnreadTokens;
    private int remoteUnreadUpdates;
    private long remoteRequestsAt;
    private boolean selfReported;
    private final ReportedSlowdown slowdown = new ReportedSlowdown();
    private int answers;
    private int slowAnswers;
    private double meanDurationNanos = INITIAL_DURATION_NANOS;
    private long lastSentAt;
    private long backoffUntil;
    private int consecutiveFailures;
    private double failureShare;
    private final UsualDuration usualDuration = new UsualDuration();

    /** Creates the load of an instance that has no requests, at a host with the given delay. */
    InstanceLoad(LoopDelayMeter hostDelay) {
        this.hostDelay = hostDelay;
    }

    void requestSent(long tokens, long now) {
        running++;
        ownUnreadTokens += tokens;
        unanswered.addLast(now);
        lastSentAt = now;
    }

    /**
     * Records the first event of a request. The prompt window gets the time that it would have
     * taken without a slowdown, so that a slowdown leaves no narrower window behind.
     *
     * @param nanos the time that the instance took for it
     * @param objective the shortest latency objective of the routes that lead to the instance
     */
    void recordFirstEvent(long nanos, Duration objective, long now) {
        promptWindow.recordFirstEvent(Math.round(nanos / slowdown.recentPeak(now)), objective);
        answers++;
        slowAnswers += PromptWindow.isSlow(nanos, objective) ? 1 : 0;
    }

    /**
     * Records the time to the first event of a request. Where the instance reports its slowdown,
     * the sample is the time that all work before the event would usually have taken. Otherwise
     * only requests count that found nothing unread.
     *
     * @param ofService the rate of the engines of its service
     * @param nanos the time that the instance took for it
     */
    void recordPrefill(PrefillRate ofService, InFlightRequest inFlight, long nanos, long now) {
        if (slowdown.isKnown() && inFlight.uncachedTokens() > 0) {
            long usual = Math.round(nanos / slowdown.current(now));
            long tokens = Math.round(inFlight.workAhead());
            prefillRate.addSample(tokens, usual);
            ofService.addSample(tokens, usual);
        } else if (inFlight.nothingUnread()) {
            ofService.addSample(inFlight.uncachedTokens(), nanos);
        }
    }

    /**
     * Returns the rate at which the instance usually processes prompts: its own, if it reports its
     * slowdown and enough of its answers were seen, else that of its service.
     */
    PrefillRate usualRate(PrefillRate ofService) {
        return slowdown.isKnown() && prefillRate.isKnown() ? prefillRate : ofService;
    }

    /** Returns the rate at which the instance processes prompts at present. */
    PrefillRate currentRate(PrefillRate ofService, long now) {
        PrefillRate usual = usualRate(ofService);
        return slowdown.isKnown() ? usual.slowedBy(slowdown.current(now)) : usual;
    }

    /** Returns the work to report to other hosts, and resets the counts of answers. */
    InstanceWork takeWork() {
        InstanceWork work = new InstanceWork(running, answers, slowAnswers);
        answers = 0;
        slowAnswers = 0;
        return work;
    }

    /**
     * Returns whether one more prompt may be sent while earlier ones are still being processed.
     *
     * @param late whether its answer can no longer meet the latency objective
     */
    boolean admitsPrompt(boolean late, long now) {
        return promptWindow.admits(
                unanswered.size(), late, slowdown.current(now), now - lastSentAt);
    }

    /**
     * Returns how many requests per second this host can send to the instance: the smaller of what
     * its prompt window allows and its share of the slots that become free.
     */
    double requestsPerSecond(int slots, long now) {
        double share = Math.max(1, running) / Math.max(1, occupancy(now));
        double freed = slots * share * NANOS_PER_SECOND / meanDurationNanos;
        return Math.min(promptWindow.promptsPerSecond(), freed);
    }

    /** Removes the prompt of a request from those that the instance has yet to process. */
    void responseStarted(long tokens, long startedAt) {
        ownUnreadTokens = Math.max(0, ownUnreadTokens - tokens);
        unanswered.removeFirstOccurrence(startedAt);
    }

    /** Records that a request has ended which the instance did not serve. */
    void unservedRequestEnded() {
        running = Math.max(0, running - 1);
    }

    /**
     * Records that a request has ended which the instance served.
     *
     * @param nanos the time that it spent at the instance
     */
    void servedRequestEnded(long nanos, long now) {
        unservedRequestEnded();
        usualDuration.addSample(nanos, slowdown.current(now));
        meanDurationNanos += (nanos - meanDurationNanos) / DURATION_MEMORY;
    }

    /**
     * Records the load that the instance itself reports, which includes the requests of all hosts.
     */
    void updateReported(int runningAndWaiting, OptionalDouble reportedSlowdown, long now) {
        setRemoteRequests(Math.max(0, runningAndWaiting - running));
        remoteRequestsAt = now;
        selfReported = true;
        slowdown.update(reportedSlowdown, now);
    }

    /** Returns how many times as long as usual work takes at the instance. */
    ReportedSlowdown slowdown() {
        return slowdown;
    }

    /**
     * Records the requests that other hosts report, unless the instance itself has reported its
     * load recently.
     */
    void updateRemoteRequests(int requests, long now) {
        if (selfReported && now - remoteRequestsAt < REPORT_HALF_LIFE_NANOS) {
            return;
        }
        setRemoteRequests(requests);
        remoteRequestsAt = now;
        selfReported = false;
    }

    /** Returns this host's share of the unread tokens, with one more prompt of its own included. */
    double shareOfUnread(PrefillRate rate, long tokens, long now) {
        double own = ownUnreadTokens + Math.max(1, tokens);
        return own / (unreadTokens(rate, now) + Math.max(1, tokens));
    }

    private void setRemoteRequests(double reported) {
        remoteRequests = reported;
        remoteUpdates = Math.min(remoteUpdates + 1, REMOTE_MEMORY);
        meanRemoteRequests += (reported - meanRemoteRequests) / remoteUpdates;
    }

    /** Records how many prompt tokens of other hosts the instance has yet to process. */
    void updateRemoteUnreadTokens(long tokens, long now) {
        remoteUnreadTokens = tokens;
        remoteUnreadAt = now;
        remoteUnreadUpdates = Math.min(remoteUnreadUpdates + 1, REMOTE_MEMORY);
        meanRemoteUnreadTokens += (tokens - meanRemoteUnreadTokens) / remoteUnreadUpdates;
    }

    /**
     * Returns the estimated number of prompt tokens of all hosts that the instance has yet to
     * process.
     */
    double unreadTokens(PrefillRate rate, long now) {
        double readSince = remoteUnreadTokens == 0 ? 0 : rate.tokensIn(now - remoteUnreadAt);
        return ownUnreadTokens + Math.max(0, remoteUnreadTokens - readSince);
    }

    /**
     * Returns the expected number of prompt tokens of all hosts that the instance has yet to
     * process, for deciding whether it takes one more. If it reports its slowdown, the last report
     * of other hosts decays towards their mean, since they send further prompts between two
     * reports: taken as processed after the report, many hosts together overfill the instance. The
     * mean decays as well, so that a host without reports keeps sending.
     */
    double expectedUnreadTokens(PrefillRate rate, long now) {
        if (!slowdown.isKnown()) {
            return unreadTokens(rate, now);
        }
        long age = Math.max(0, now - remoteUnreadAt);
        double mean = meanRemoteUnreadTokens * Math.pow(0.5, age / REPORT_HALF_LIFE_NANOS);
        double deviation = remoteUnreadTokens - meanRemoteUnreadTokens;
        double remote = mean + deviation * Math.pow(0.5, age / UNREAD_HALF_LIFE_NANOS);
        return ownUnreadTokens + Math.max(0, remote);
    }

    /**
     * Returns the work before the first event of one more request, in prompt tokens.
     *
     * @param unread the tokens of other requests that are processed before it
     */
    double workAhead(double unread, Need need, long now) {
        return unread + uncachedTokens(need) + TOKENS_PER_RUNNING * occupancy(now);
    }

    /** Excludes the instance for a period that doubles with each consecutive failure. */
    void backOff(long now) {
        consecutiveFailures++;
        long period = INITIAL_BACKOFF_NANOS << Math.min(consecutiveFailures - 1, 3);
        backoffUntil = now + Math.min(period, MAX_BACKOFF_NANOS);
    }

    void resetBackoff() {
        consecutiveFailures = 0;
        backoffUntil = 0;
    }

    void recordOutcome(boolean success) {
        double sample = success ? 0 : 1;
        failureShare += (sample - failureShare) / FAILURE_MEMORY;
    }

    boolean inBackoff(long now) {
        return backoffUntil != 0 && now - backoffUntil < 0;
    }

    /** Returns whether a request has waited for its first answer for longer than the given time. */
    boolean isSilentFor(long nanos, long now) {
        if (unanswered.isEmpty()) {
            return false;
        }
        long since = unanswered.peekFirst();
        return now - since - hostDelay.unnoticedNanos(since, now) > nanos;
    }

    int running() {
        return running;
    }

    double occupancy(long now) {
        return running + remoteRequestsNow(now);
    }

    /**
     * Returns the expected number of requests of all hosts. The last report of other hosts decays
     * towards their mean, since their requests come and go.
     */
    double expectedOccupancy(long now) {
        double halves = (now - remoteRequestsAt) / (REMOTE_HALF_LIFE_SHARE * meanDurationNanos);
        return running
                + meanRemoteRequests
                + (remoteRequests - meanRemoteRequests) * Math.pow(0.5, Math.max(0, halves));
    }

    UsualDuration usualDuration() {
        return usualDuration;
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

    /**
     * Returns the prompt tokens of a request that the instance still has to process: those after
     * the leading parts that this host has seen it process before.
     */
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
        double halves = (now - remoteRequestsAt) / REPORT_HALF_LIFE_NANOS;
        return remoteRequests * Math.pow(0.5, Math.max(0, halves));
    }
}
