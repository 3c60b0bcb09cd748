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
 * Spreads the configuration: every host tells the control hosts and its zone what it has, whoever
 * has a newer one answers with it, and a new one is passed on at once.
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

    /** Creates an exchange for a store. */
    public ConfigExchange(
            Settings settings, ConfigStore store, PeerTransport transport, long process) {
        this.settings = settings;
        this.store = store;
        this.transport = transport;
        this.processId = process;
        List<HostId> all = settings.hosts().stream().map(Settings.Host::host).toList();
        this.otherHosts = without(settings.host(), all);
        this.zonePeers = without(settings.host(), settings.hostsIn(settings.zone()));
        store.addListener(ignored -> forward());
    }

    /**
     * What a host has said of itself.
     *
     * @param zone its zone
     * @param revision what is in force there
     * @param millisToForce how long that took
     * @param process drawn at the start of its process
     * @param at when it spoke, on the monotonic clock
     */
    public record HostReport(
            ZoneId zone, long revision, long activationMillis, long processId, long receivedAt) {
        /** Returns whether it has spoken lately. */
        public boolean isRecent() {
            return BootClock.nanos() - receivedAt < MAX_REPORT_AGE_NANOS;
        }
    }

    /** Tells the control hosts and the zone what is in force here; to be called regularly. */
    public void sendReport() {
        ConfigStore.ActiveConfiguration inForce = store.active();
        Frame frame =
                Frame.newBuilder()
                        .setFollow(
                                ConfigFollow.newBuilder()
                                        .setHost(settings.host().value())
                                        .setZone(settings.zone().value())
                                        .setRevision(inForce.configuration().revision())
                                        .setMillisToForce(inForce.activationMillis())
                                        .setProcess(processId))
                        .build();
        settings.groups().control().forEach(host -> transport.send(host, frame));
        zonePeers.stream()
                .filter(host -> !settings.groups().control().contains(host))
                .forEach(host -> transport.send(host, frame));
        recordReport(settings.host(), frame.getFollow());
    }

    /** Takes what another host says of itself. */
    public void receive(ConfigFollow follow, Replier replier) {
        recordReport(new HostId(follow.getHost()), follow);
        if (follow.getRevision() < store.current().revision()) {
            replier.send(updateFrame());
        }
    }

    /** Takes a configuration from another host. */
    public void receive(ConfigUpdate update) {
        if (update.getRevision() > store.current().revision()) {
            Configuration next =
                    Json.read(Configuration.class, update.getConfiguration().toByteArray());
            store.offer(next, update.getAgeMillis());
        }
    }

    /** Returns what each host has said of itself lately. */
    public Map<HostId, HostReport> hostReports() {
        return Map.copyOf(hostReports);
    }

    /** Returns the process that a host last spoke from. */
    public Optional<Long> processIdOf(HostId host) {
        return Optional.ofNullable(hostReports.get(host)).map(HostReport::processId);
    }

    /** Notes whether this host leads the control group. */
    public void setLeading(boolean leads) {
        leading = leads;
    }

    /** The control leader sends a new configuration to every host, others to their zone. */
    private void forward() {
        if (store.current().revision() > 0) {
            Frame frame = updateFrame();
            List<HostId> to = leading ? otherHosts : zonePeers;
            to.forEach(host -> transport.send(host, frame));
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
        ConfigStore.ActiveConfiguration inForce = store.active();
        byte[] bytes = Json.write(Configuration.class, inForce.configuration());
        return Frame.newBuilder()
                .setUpdate(
                        ConfigUpdate.newBuilder()
                                .setRevision(inForce.configuration().revision())
                                .setConfiguration(ByteString.copyFrom(bytes))
                                .setAgeMillis(inForce.ageMillis()))
                .build();
    }
}
