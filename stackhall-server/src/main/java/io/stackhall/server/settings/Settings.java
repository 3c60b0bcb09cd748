package io.stackhall.server.settings;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SequencedMap;

/**
 * The settings of one process.
 *
 * @param host this host's name
 * @param zone its availability zone
 * @param dataFolder where its state lasts; none on a host without a disk
 * @param callers where callers connect
 * @param upstreams where upstreams announce themselves
 * @param peers where other hosts of the system connect
 * @param operators where operators connect, on hosts that serve them
 * @param hosts every host of the system, this one included
 * @param groups who keeps which replicated state
 * @param limits bounds of what callers may ask
 * @param timing times of coordination
 */
public record Settings(
        HostId host,
        ZoneId zone,
        Optional<Path> dataFolder,
        Address callers,
        Address upstreams,
        Address peers,
        Optional<Address> operators,
        List<Host> hosts,
        Groups groups,
        Limits limits,
        Timing timing)
        implements ProcessSettings {

    /** The group that keeps the configuration. */
    public static final String CONTROL_GROUP = "control";

    private static final String ZONE_GROUP_PREFIX = "zone/";

    /** Copies the list. */
    public Settings {
        hosts = List.copyOf(hosts);
    }

    /**
     * One host of the system.
     *
     * @param host its name
     * @param zone its availability zone
     * @param peers where it is reached by other hosts
     */
    public record Host(HostId host, ZoneId zone, Address peers) {}

    /**
     * Who keeps which replicated state.
     *
     * @param control the hosts that keep the configuration and accepted work
     * @param zones for each zone the hosts that keep its claims and orders
     */
    public record Groups(List<HostId> control, SequencedMap<ZoneId, List<HostId>> zones) {
        /** Copies the parts. */
        public Groups {
            control = List.copyOf(control);
            zones = new LinkedHashMap<>(zones);
        }
    }

    /**
     * Bounds of what callers may ask.
     *
     * @param maxBodyBytes the largest body of a request
     * @param maxAnswerBytes the largest plain answer
     * @param urgentDeadline the deadline of an urgent request that names none
     * @param normalDeadline the deadline of a normal request that names none
     * @param deferredDeadline the deadline of a deferred request that names none
     * @param maxWaiting requests that may wait in this process
     * @param maxInFlight requests that this process works on at once
     * @param leastFreeBytes free space of the data folder below which nothing new is written
     */
    public record Limits(
            int maxBodyBytes,
            int maxAnswerBytes,
            Duration urgentDeadline,
            Duration normalDeadline,
            Duration deferredDeadline,
            int maxWaiting,
            int maxInFlight,
            long leastFreeBytes) {}

    /**
     * Times of coordination.
     *
     * @param electionTimeout the least time without a leader before another is elected
     * @param heartbeat the interval of a leader's broadcasts
     * @param orderLifetime how long a copy of an order may stay on its way
     * @param upstreamSilence the silence after which an upstream is dropped
     * @param upstreamIdle the longest pause within an upstream's answer
     * @param lateAnswer how long past a request's deadline the answer of an upstream that runs it
     *     is still awaited
     * @param claimRetention how long a claim and its answer are kept
     * @param longestRun after which an attempt that has not ended counts as lost
     * @param drainBound the longest a planned stop waits for requests in flight
     * @param drainGrace how long a stopping process still takes requests while it is not ready
     */
    public record Timing(
            Duration electionTimeout,
            Duration heartbeat,
            Duration orderLifetime,
            Duration upstreamSilence,
            Duration upstreamIdle,
            Duration lateAnswer,
            Duration claimRetention,
            Duration longestRun,
            Duration drainBound,
            Duration drainGrace) {}

    /** Returns the name of a zone's group. */
    public static String zoneGroup(ZoneId zone) {
        return ZONE_GROUP_PREFIX + zone;
    }

    /** Returns the hosts of a zone, in the order of the settings. */
    public List<HostId> hostsIn(ZoneId zone) {
        return hosts.stream().filter(host -> host.zone().equals(zone)).map(Host::host).toList();
    }

    /** Returns the members of every group by its name. */
    public Map<String, List<HostId>> membersByGroup() {
        Map<String, List<HostId>> members = new LinkedHashMap<>();
        members.put(CONTROL_GROUP, groups.control());
        groups.zones().forEach((zone, hostsOf) -> members.put(zoneGroup(zone), hostsOf));
        return members;
    }

    /** Returns a host by name. */
    public Optional<Host> findHost(HostId id) {
        return hosts.stream().filter(other -> other.host().equals(id)).findFirst();
    }

    /** Returns the zones, in order of the groups. */
    public List<ZoneId> zones() {
        return List.copyOf(groups.zones().keySet());
    }
}
