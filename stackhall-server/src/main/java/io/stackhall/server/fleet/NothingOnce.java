package io.stackhall.server.fleet;

/** Decides whether a report is due: something always is, nothing only after something. */
public final class NothingOnce {

    private boolean toldOfSome;

    /**
     * Returns whether to tell, and takes it as told.
     *
     * @param some whether there is something to tell
     */
    public boolean isDue(boolean some) {
        boolean due = some || toldOfSome;
        toldOfSome = some;
        return due;
    }
}
