package io.stackhall.core.id;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Names one life of an upstream: one model engine or one plain service process, from its start to
 * its end.
 *
 * <p>Whatever is believed of a life is kept under this id, so that an upstream that starts again
 * under its name begins with nothing.
 *
 * @param value its name, which may outlive it
 * @param bornMillis when it says that it started, in Unix milliseconds, or {@link #START_UNKNOWN}
 */
public record UpstreamId(String value, long bornMillis) implements Id {

    /** The start of an upstream that does not tell it: its name is then drawn at each start. */
    public static final long START_UNKNOWN = 0;

    private static final char START_SEPARATOR = '@';

    private static final Pattern WITH_START =
            Pattern.compile("(.+)" + START_SEPARATOR + "(\\d{1,18})");

    /** Checks the text and the start. */
    public UpstreamId {
        IdText.require("upstream", value);
        if (bornMillis < START_UNKNOWN) {
            throw new IllegalArgumentException(
                    "start " + bornMillis + " of an upstream is negative");
        }
    }

    /** Creates the id of an upstream that does not tell its start. */
    public UpstreamId(String value) {
        this(value, START_UNKNOWN);
    }

    /** Reads what {@link #toString} has written. */
    public static UpstreamId parse(String text) {
        Matcher matcher = WITH_START.matcher(text);
        return matcher.matches()
                ? new UpstreamId(matcher.group(1), Long.parseLong(matcher.group(2)))
                : new UpstreamId(text);
    }

    /** Returns whether this is a later life than another of the same name, by their own word. */
    public boolean startedAfter(UpstreamId other) {
        return value.equals(other.value) && bornMillis > other.bornMillis;
    }

    @Override
    public String toString() {
        boolean nameOnly = bornMillis == START_UNKNOWN && value.indexOf(START_SEPARATOR) < 0;
        return nameOnly ? value : value + START_SEPARATOR + bornMillis;
    }
}
