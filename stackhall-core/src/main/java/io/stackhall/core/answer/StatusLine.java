package io.stackhall.core.answer;

import java.util.regex.Pattern;

/** The first line of an answer's head. */
public final class StatusLine {

    /** A cheap test that nearly all texts fail. */
    private static final String VERSION = "HTTP/1.";

    private static final Pattern BEGINNING = Pattern.compile("HTTP/1\\.\\d \\d{3}(?!\\S)");

    private static final int FIRST_STATUS = 100;
    private static final int LAST_STATUS = 599;

    private StatusLine() {}

    /** Returns whether a number belongs to one of the five classes of statuses. */
    public static boolean isStatus(int number) {
        return number >= FIRST_STATUS && number <= LAST_STATUS;
    }

    /** Returns whether a text holds the beginning of a status line anywhere. */
    public static boolean isWithin(String text) {
        return text.contains(VERSION) && BEGINNING.matcher(text).find();
    }
}
