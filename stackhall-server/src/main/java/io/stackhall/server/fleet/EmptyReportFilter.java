package io.stackhall.server.fleet;

/**
 * Decides whether a periodic report is sent: one with content always, an empty one only if the
 * previous report had content.
 */
public final class EmptyReportFilter {

    private boolean lastNonEmpty;

    /**
     * Returns whether the next report is to be sent, and assumes that it is.
     *
     * @param nonEmpty whether the report has content
     */
    public boolean isDue(boolean nonEmpty) {
        boolean due = nonEmpty || lastNonEmpty;
        lastNonEmpty = nonEmpty;
        return due;
    }
}
