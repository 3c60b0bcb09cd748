package io.stackhall.core.dispatch;

import java.time.Duration;

/**
 * How often each entry host tells the control hosts of its work, and is told that of the others.
 *
 * <p>The load that it answers: every entry host tells every control host, so that frames grow with
 * the number of entry hosts while what each of them has to say shrinks. At a fixed interval of 150
 * ms a control host with 95 entry hosts takes 633 frames a second; at 5 ms a host it takes 200
 * however many there are, and with 30 hosts or fewer nothing changes.
 *
 * @param hosts how many entry hosts there are
 */
public record ReportTiming(int hosts) {

    /** Ten of the 1.5 s that a request stays at an engine. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(150);

    /** A control host takes 200 reports a second at most, a tenth of a small processor. */
    private static final Duration INTERVAL_PER_HOST = Duration.ofMillis(5);

    /** A host whose last word is older than this many intervals is cut off. */
    private static final int INTERVALS_UNTIL_SILENT = 3;

    /** Where there are few hosts, reports come several times within this. */
    private static final Duration MIN_LIFETIME = Duration.ofSeconds(1);

    /** Checks the number. */
    public ReportTiming {
        if (hosts < 0) {
            throw new IllegalArgumentException("there cannot be " + hosts + " hosts");
        }
    }

    /** Returns the time between two reports of a host. */
    public Duration interval() {
        return max(MIN_INTERVAL, INTERVAL_PER_HOST.multipliedBy(hosts));
    }

    /** Returns how long a report counts. */
    public Duration lifetime() {
        return max(MIN_LIFETIME, interval().multipliedBy(INTERVALS_UNTIL_SILENT));
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }
}
