package io.stackhall.server.fleet;

/** Decides whether a report is due: something always is, nothing only after something. */
public final class EmptyReportFilter {

    private boolean lastNonEmpty;

    /**
     * Returns whether to tell, and takes it as told.
     *
     * @param some whether there is something to tell
     */
    public boolean isDue(boolean some) {
        boolean due = some || lastNonEmpty;
        lastNonEmpty = some;
        return due;
    }
}
