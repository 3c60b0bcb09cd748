package io.stackhall.core.fleet;

/** Whether an incarnation of an upstream may receive requests. */
public enum InstanceState {
    /** It accepts requests. */
    READY,
    /** It completes its running requests and accepts no new ones. */
    DRAINING,
    /** It has sent no report for too long. A later report makes it available again. */
    SILENT,
    /** It has ended, or is considered ended. This incarnation never comes back. */
    GONE
}
