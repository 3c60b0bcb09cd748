package io.stackhall.core.id;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Identifies one incarnation of an upstream: one process of a model engine or a plain service.
 *
 * <p>All state about an upstream is kept under this id, so that an upstream that restarts under the
 * same name begins with empty state.
 *
 * @param value name of the upstream, which several incarnations may share
 * @param bornMillis start time that the upstream reports, in Unix milliseconds, or {@link
 *     #START_UNKNOWN}
 */
public record UpstreamId(String value, long bornMillis) implements Id {

    /**
     * Start time of an upstream that does not report it; such an upstream has a new name per start.
     */
    public static final long START_UNKNOWN = 0;

    private static final char START_SEPARATOR = '@';

    private static final Pattern WITH_START =
            Pattern.compile("(.+)" + START_SEPARATOR + "(\\d{1,18})");

    /** Validates the name and the start time. */
    public UpstreamId {
        IdText.require("upstream", value);
        if (bornMillis < START_UNKNOWN) {
            throw new IllegalArgumentException(
                    "start " + bornMillis + " of an upstream is negative");
        }
    }

    /** Creates the id of an upstream that does not report its start time. */
    public UpstreamId(String value) {
        this(value, START_UNKNOWN);
    }

    /** Parses the text returned by {@link #toString}. */
    public static UpstreamId parse(String text) {
        Matcher matcher = WITH_START.matcher(text);
        return matcher.matches()
                ? new UpstreamId(matcher.group(1), Long.parseLong(matcher.group(2)))
                : new UpstreamId(text);
    }

    /**
     * Returns whether this is a later incarnation of the same upstream, according to the start
     * times that both report.
     */
    public boolean startedAfter(UpstreamId other) {
        return value.equals(other.value) && bornMillis > other.bornMillis;
    }

    @Override
    public String toString() {
        boolean nameOnly = bornMillis == START_UNKNOWN && value.indexOf(START_SEPARATOR) < 0;
        return nameOnly ? value : value + START_SEPARATOR + bornMillis;
    }
}
