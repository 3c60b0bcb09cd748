package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.util.HashSet;
import java.util.Set;

/**
 * Decides which possible causes are beyond doubt, from the evidence alone, so that hosts with the
 * same evidence agree.
 *
 * <p>Whole requests: if exactly one of the requests of a crash was also in another crash, that
 * request caused both. If several were, the third crash decides. A request of which convicted parts
 * of prompts explain all crashes is not convicted: the callers of bystanders try again, and meet
 * the part again.
 *
 * <p>Parts of prompts: a part that sound requests share is acquitted by each of their answers, so
 * that crashes in three rounds without an answer in between are no coincidence. Crashes of a
 * request that was in three of them, and in as many as the part, do not count, and if one request
 * was in all that are left, the part is not convicted. Of several parts that were in all of these
 * crashes only the last one in the prompt is convicted: it refuses the fewest requests, and if it
 * is sound, the crashes go on without it. Crashes that it explains do not count against the parts
 * before it.
 */
final class Conviction {

    /**
     * Crashes that convict without comparison to others. One crash has many possible causes, and
     * two mostly have one; three with the same cause are no coincidence.
     */
    private static final int CONVICTING_CRASHES = 3;

    private final EvidenceIndex index;

    Conviction(EvidenceIndex index) {
        this.index = index;
    }

    boolean isConvicted(CrashCause cause, Evidence evidence) {
        return evidence.sentenced()
                || switch (cause) {
                    case RequestDigest request -> isRequestConvicted(request, evidence);
                    case PromptPartDigest part -> isPartConvicted(evidence);
                };
    }

    private boolean isRequestConvicted(RequestDigest request, Evidence evidence) {
        int crashes = evidence.incarnations().size();
        if (crashes < 2) {
            return false;
        }
        Set<UpstreamId> unexplained = new HashSet<>(evidence.incarnations());
        unexplained.removeIf(this::isExplainedByPart);
        if (crashes >= CONVICTING_CRASHES) {
            return !unexplained.isEmpty();
        }
        return unexplained.size() == crashes
                && unexplained.stream().anyMatch(one -> isOnlyRepeatedCause(request, one));
    }

    /** Returns whether no other possible cause of a crash was in a second crash. */
    private boolean isOnlyRepeatedCause(RequestDigest request, UpstreamId incarnation) {
        return index.causesOf(incarnation).stream()
                .noneMatch(other -> isRepeatedWithout(request, other));
    }

    private boolean isExplainedByPart(UpstreamId incarnation) {
        return index.causesOf(incarnation).stream()
                .anyMatch(
                        cause ->
                                cause instanceof PromptPartDigest
                                        && isConvicted(cause, index.get(cause)));
    }

    /**
     * Returns whether another cause was in several crashes. A part that was in no crash without the
     * request is taken for one of the request's own.
     */
    private boolean isRepeatedWithout(RequestDigest request, CrashCause other) {
        Set<UpstreamId> crashes = index.get(other).incarnations();
        return crashes.size() > 1
                && switch (other) {
                    case RequestDigest another -> !another.equals(request);
                    case PromptPartDigest part ->
                            !index.get(request).incarnations().containsAll(crashes);
                };
    }

    private boolean isPartConvicted(Evidence evidence) {
        if (evidence.incarnations().size() < CONVICTING_CRASHES) {
            return false;
        }
        Set<UpstreamId> crashes = new HashSet<>(evidence.incarnations());
        crashes.removeIf(
                one ->
                        isExplainedByRequest(one, evidence)
                                || isExplainedByLaterPart(one, evidence));
        int lastRound =
                crashes.stream().mapToInt(one -> evidence.presence(one).round()).max().orElse(0);
        if (crashes.size() < CONVICTING_CRASHES || lastRound < CONVICTING_CRASHES) {
            return false;
        }
        Set<CrashCause> common = commonCauses(crashes);
        if (common.stream().anyMatch(RequestDigest.class::isInstance)) {
            return false;
        }
        return common.stream()
                .allMatch(other -> index.get(other).lastPosition() <= evidence.lastPosition());
    }

    /**
     * Returns whether a crash has a request that was in three crashes, and in as many as a part.
     */
    private boolean isExplainedByRequest(UpstreamId incarnation, Evidence part) {
        int crashes = Math.max(part.incarnations().size(), CONVICTING_CRASHES);
        return index.causesOf(incarnation).stream()
                .filter(RequestDigest.class::isInstance)
                .anyMatch(request -> index.get(request).incarnations().size() >= crashes);
    }

    /**
     * Returns whether a crash has a convicted part that comes later in prompts than another one.
     */
    private boolean isExplainedByLaterPart(UpstreamId incarnation, Evidence part) {
        return index.causesOf(incarnation).stream()
                .filter(other -> index.get(other).lastPosition() > part.lastPosition())
                .anyMatch(later -> isConvicted(later, index.get(later)));
    }

    /** Returns the possible causes that all of some crashes have in common. */
    private Set<CrashCause> commonCauses(Set<UpstreamId> crashes) {
        Set<CrashCause> common = new HashSet<>();
        boolean first = true;
        for (UpstreamId incarnation : crashes) {
            if (first) {
                common.addAll(index.causesOf(incarnation));
                first = false;
            } else {
                common.retainAll(index.causesOf(incarnation));
            }
        }
        return common;
    }
}
