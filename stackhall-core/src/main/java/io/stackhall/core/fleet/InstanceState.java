package io.stackhall.core.fleet;

/** Whether an incarnation of an upstream may be given work. */
public enum InstanceState {
    /** It takes work. */
    READY,
    /** It ends what it runs, and takes nothing new. */
    DRAINING,
    /** It has said nothing for too long; a later report brings it back. */
    SILENT,
    /** It has ended, or counts as ended; this life of it never comes back. */
    GONE
}
