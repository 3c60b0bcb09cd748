package io.stackhall.server.settings;

import io.stackhall.core.customer.LimitTolerance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The settings of a process that finds the others through a few seed hosts.
 *
 * @param host the host's name, for logs
 * @param zone its availability zone
 * @param role what the process does
 * @param peers where other processes of the system reach it
 * @param seeds control hosts by their API addresses, some of which may be stale
 * @param firstStart whether the whole system starts for the first time
 * @param limits bounds that the deployment sets
 * @param metrics where counters and histograms are read, if anywhere
 */
public record FleetSettings(
        HostId host,
        ZoneId zone,
        Role role,
        Address peers,
        List<Address> seeds,
        boolean firstStart,
        Limits limits,
        Optional<Address> metrics)
        implements ProcessSettings {

    /** Copies the seeds. */
    public FleetSettings {
        seeds = List.copyOf(seeds);
    }

    /** What a process does, and where. */
    public sealed interface Role {}

    /**
     * Takes callers' requests.
     *
     * @param callers where callers reach it
     * @param readiness where the balancer asks whether it is ready
     */
    public record Entry(Address callers, Address readiness) implements Role {}

    /**
     * Keeps the configuration and the list of upstreams, and gives orders.
     *
     * @param api where operators and upstreams reach it
     * @param dataFolder where its replica keeps its state
     */
    public record Control(Address api, Path dataFolder) implements Role {}

    /**
     * Bounds that the deployment sets.
     *
     * @param heartbeat the interval of the upstreams' heartbeats
     * @param stopGrace the time between the signal to stop and the kill
     * @param orderPause how long after its predecessor a new giver of orders waits
     * @param fenceChecked whether engines refuse orders with an older fencing number
     * @param retryRatio resends to upstreams allowed for each request
     * @param retrySlack resends allowed beside in each retry window, over all hosts
     * @param retryWindow the window in which resends are counted
     * @param storeWindow the window in which loads from the weight store are counted
     * @param hostLossesBorne how many hosts of the control group may be lost at once
     * @param keyRevocation within which time of its acknowledgement a configuration that takes a
     *     customer's key away holds on every host; empty where a host that no word of it reaches
     *     may go on
     * @param routesStaleness the time after its acknowledgement within which a configuration is
     *     active on every host that is connected
     * @param limitTolerance by how much the hosts together may exceed a customer's limit
     * @param processorShare the share of a core that this process may use, at most 1
     */
    public record Limits(
            Duration heartbeat,
            Duration stopGrace,
            Duration orderPause,
            boolean fenceChecked,
            double retryRatio,
            double retrySlack,
            Duration retryWindow,
            Duration storeWindow,
            int hostLossesBorne,
            Optional<Duration> keyRevocation,
            Duration routesStaleness,
            LimitTolerance limitTolerance,
            double processorShare) {

        /** Hosts with a larger share compile and serve fast enough from their start on. */
        private static final double SMALL_PROCESSOR_SHARE = 0.5;

        /**
         * Returns whether the share is so small that an entry host warms up, measures the delay of
         * its event loop, and refuses requests while it is overloaded.
         */
        public boolean hasSmallProcessorShare() {
            return processorShare < SMALL_PROCESSOR_SHARE;
        }
    }

    /** Returns the name under which others reach a host's process: its peer address. */
    public HostId peerName() {
        return new HostId(peers.toString());
    }

    /** Returns the seeds by their peer names; all hosts use the same peer port. */
    public List<HostId> seedPeers() {
        return seeds.stream()
                .map(seed -> new HostId(new Address(seed.ip(), peers.port()).toString()))
                .toList();
    }

    /** Returns the control role's parts, if this process has it. */
    public Optional<Control> control() {
        return role instanceof Control control ? Optional.of(control) : Optional.empty();
    }
}
