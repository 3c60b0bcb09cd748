package io.stackhall.core.dispatch;

import java.time.Duration;

/**
 * The interval at which each entry host reports its work to the control hosts and receives that of
 * the others, and the lifetime of such a report.
 *
 * <p>Every entry host reports to every control host, so the number of frames grows with the number
 * of entry hosts while each of them has less to report. At a fixed interval of 150 ms a control
 * host with 95 entry hosts receives 633 frames per second. With 5 ms per host it receives 200,
 * however many hosts there are; with 30 hosts or fewer nothing changes.
 *
 * @param hosts the number of entry hosts
 */
public record ReportTiming(int hosts) {

    /** Ten reports in the 1.5 s that a request stays at an engine. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(150);

    /** Limits a control host to 200 reports per second, which take a tenth of a small processor. */
    private static final Duration INTERVAL_PER_HOST = Duration.ofMillis(5);

    /** A host whose last report is older than this many intervals counts as cut off. */
    private static final int INTERVALS_UNTIL_SILENT = 3;

    /** Minimum lifetime, which covers several reports when there are few hosts. */
    private static final Duration MIN_LIFETIME = Duration.ofSeconds(1);

    public ReportTiming {
        if (hosts < 0) {
            throw new IllegalArgumentException("negative number of hosts: " + hosts);
        }
    }

    /** Returns the time between two reports of a host. */
    public Duration interval() {
        return max(MIN_INTERVAL, INTERVAL_PER_HOST.multipliedBy(hosts));
    }

    /** Returns how long a report is valid. */
    public Duration lifetime() {
        return max(MIN_LIFETIME, interval().multipliedBy(INTERVALS_UNTIL_SILENT));
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }
}
