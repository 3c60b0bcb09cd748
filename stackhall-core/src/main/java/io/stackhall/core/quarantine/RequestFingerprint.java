package io.stackhall.core.quarantine;

import java.util.ArrayList;
import java.util.List;

/**
 * What a request is recognized by after it has ended: its whole content, and the parts of its
 * prompt that other requests may share.
 *
 * @param request its whole content
 * @param parts the parts that others may share, each once
 */
public record RequestFingerprint(RequestDigest request, List<PromptPartDigest> parts) {

    /** A prompt with more parts than this is recognized by the first of them only. */
    private static final int MAX_PARTS = 64;

    /** Copies the list. */
    public RequestFingerprint {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the fingerprint of a request with a prompt. The last part of a prompt belongs to one
     * request, or to one session, and is left out.
     *
     * @param partIds the ids of the parts of the prompt, in order
     */
    public static RequestFingerprint of(RequestDigest request, List<String> partIds) {
        List<PromptPartDigest> shared =
                partIds.stream()
                        .limit(Math.max(0, partIds.size() - 1))
                        .map(PromptPartDigest::of)
                        .distinct()
                        .limit(MAX_PARTS)
                        .toList();
        return new RequestFingerprint(request, shared);
    }

    /** Returns what of the request may crash an instance: the request, and each shared part. */
    public List<CrashCause> causes() {
        List<CrashCause> causes = new ArrayList<>(parts);
        causes.add(request);
        return causes;
    }
}
