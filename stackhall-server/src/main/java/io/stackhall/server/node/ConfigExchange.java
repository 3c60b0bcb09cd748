package io.stackhall.server.node;

import com.google.protobuf.ByteString;
import io.stackhall.core.config.Configuration;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.rpc.generated.peer.ConfigFollow;
import io.stackhall.rpc.generated.peer.ConfigUpdate;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.json.Json;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.peer.Replier;
import io.stackhall.server.settings.Settings;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Distributes the configuration. Every host regularly reports its active revision to the control
 * hosts and to the hosts of its zone, and a host with a newer revision replies with it. A new
 * revision is also forwarded as soon as it is active.
 */
public final class ConfigExchange {

    private static final long MAX_REPORT_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Settings settings;
    private final ConfigStore store;
    private final PeerTransport transport;
    private final long processId;
    private final List<HostId> otherHosts;
    private final List<HostId> zonePeers;
    private final Map<HostId, HostReport> hostReports = new ConcurrentHashMap<>();
    private volatile boolean leading;

    /**
     * Creates an exchange for a store.
     *
     * @param processId random number of this process
     */
    public ConfigExchange(
            Settings settings, ConfigStore store, PeerTransport transport, long processId) {
        this.settings = settings;
        this.store = store;
        this.transport = transport;
        this.processId = processId;
        List<HostId> all = settings.hosts().stream().map(Settings.Host::host).toList();
        this.otherHosts = without(settings.host(), all);
        this.zonePeers = without(settings.host(), settings.hostsIn(settings.zone()));
        store.addListener(ignored -> forward());
    }

    /**
     * The latest report of a host.
     *
     * @param zone its zone
     * @param revision the configuration revision that is active there
     * @param activationMillis time from the acceptance of the revision to its activation there, in
     *     milliseconds
     * @param processId random number that the host drew at the start of its process
     * @param receivedAt when the report was received, on this host's monotonic clock in nanoseconds
     */
    public record HostReport(
            ZoneId zone, long revision, long activationMillis, long processId, long receivedAt) {
        /** Returns whether the report was received within the last 10 seconds. */
        public boolean isRecent() {
            return BootClock.nanos() - receivedAt < MAX_REPORT_AGE_NANOS;
        }
    }

    /** Reports the active revision to the control hosts and the zone; called periodically. */
    public void sendReport() {
        ConfigStore.ActiveConfiguration active = store.active();
        Frame frame =
                Frame.newBuilder()
                        .setFollow(
                                ConfigFollow.newBuilder()
                                        .setHost(settings.host().value())
                                        .setZone(settings.zone().value())
                                        .setRevision(active.configuration().revision())
                                        .setMillisToForce(active.activationMillis())
                                        .setProcess(processId))
                        .build();
        settings.groups().control().forEach(host -> transport.send(host, frame));
        zonePeers.stream()
                .filter(host -> !settings.groups().control().contains(host))
                .forEach(host -> transport.send(host, frame));
        recordReport(settings.host(), frame.getFollow());
    }

    /** Handles another host's report and replies with the configuration if it is newer here. */
    public void receive(ConfigFollow follow, Replier replier) {
        recordReport(new HostId(follow.getHost()), follow);
        if (follow.getRevision() < store.current().revision()) {
            replier.send(updateFrame());
        }
    }

    /** Handles a configuration from another host; an older or equal revision is ignored. */
    public void receive(ConfigUpdate update) {
        if (update.getRevision() > store.current().revision()) {
            Configuration received =
                    Json.read(Configuration.class, update.getConfiguration().toByteArray());
            store.offer(received, update.getAgeMillis());
        }
    }

    /** Returns the latest report of each host, however old. */
    public Map<HostId, HostReport> hostReports() {
        return Map.copyOf(hostReports);
    }

    /** Returns the process id in the latest report of a host. */
    public Optional<Long> processIdOf(HostId host) {
        return Optional.ofNullable(hostReports.get(host)).map(HostReport::processId);
    }

    /** Sets whether this host leads the control group. */
    public void setLeading(boolean leading) {
        this.leading = leading;
    }

    /**
     * Sends the configuration to all hosts from the control leader, else to the hosts of the zone.
     */
    private void forward() {
        if (store.current().revision() > 0) {
            Frame frame = updateFrame();
            List<HostId> recipients = leading ? otherHosts : zonePeers;
            recipients.forEach(host -> transport.send(host, frame));
        }
    }

    private static List<HostId> without(HostId self, List<HostId> hosts) {
        return hosts.stream().filter(host -> !host.equals(self)).toList();
    }

    private void recordReport(HostId host, ConfigFollow follow) {
        hostReports.put(
                host,
                new HostReport(
                        new ZoneId(follow.getZone()),
                        follow.getRevision(),
                        follow.getMillisToForce(),
                        follow.getProcess(),
                        BootClock.nanos()));
    }

    private Frame updateFrame() {
        ConfigStore.ActiveConfiguration active = store.active();
        byte[] bytes = Json.write(Configuration.class, active.configuration());
        return Frame.newBuilder()
                .setUpdate(
                        ConfigUpdate.newBuilder()
                                .setRevision(active.configuration().revision())
                                .setConfiguration(ByteString.copyFrom(bytes))
                                .setAgeMillis(active.ageMillis()))
                .build();
    }
}
