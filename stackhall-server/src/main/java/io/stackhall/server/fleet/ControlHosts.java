package io.stackhall.server.fleet;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.rpc.generated.fleet.Introduction;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.settings.Address;
import io.stackhall.server.settings.FleetSettings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The control hosts that this process knows: the seeds, and whom they and others name. A connection
 * is kept to each; one that has not answered for long is forgotten unless it is a seed.
 */
public final class ControlHosts {

    private static final Logger logger = LogManager.getLogger(ControlHosts.class);

    /** A host that was replaced stays away; one that restarts or is cut off returns sooner. */
    private static final long REMOVAL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final FleetSettings settings;
    private final PeerTransport transport;
    private final Consumer<HostId> onConnected;
    private final Map<HostId, Long> lastConnected = new LinkedHashMap<>();
    private final Set<HostId> connectedHosts = ConcurrentHashMap.newKeySet();
    private final Map<HostId, ZoneId> zones = new ConcurrentHashMap<>();
    private Set<HostId> seeds;

    /**
     * Creates the list; nothing is connected yet.
     *
     * @param onConnected told on a network thread of each connection that has come up
     */
    public ControlHosts(
            FleetSettings settings, PeerTransport transport, Consumer<HostId> onConnected) {
        this.settings = settings;
        this.transport = transport;
        this.onConnected = onConnected;
        this.seeds = Set.copyOf(settings.seedPeers());
    }

    /** Returns this host's own peer address. */
    public HostId self() {
        return settings.peerName();
    }

    /** Connects to the seeds. */
    public synchronized void start() {
        addHosts(settings.seedPeers());
    }

    /** Takes over other seeds. */
    public synchronized void setSeeds(Collection<HostId> next) {
        seeds = Set.copyOf(next);
        addHosts(next);
    }

    /** Takes in hosts that another has named. */
    public synchronized void addHosts(Collection<HostId> named) {
        for (HostId host : named) {
            boolean known = host.equals(settings.peerName()) || lastConnected.containsKey(host);
            if (!known) {
                lastConnected.put(host, BootClock.nanos());
                logger.info("control-host.learned host={}", host);
                transport.link(host, Address.parse(host.value()), () -> connected(host));
            }
        }
    }

    /** Returns the known hosts, this one excepted. */
    public synchronized List<HostId> knownHosts() {
        return new ArrayList<>(lastConnected.keySet());
    }

    /** Returns the hosts that are connected and have said in which zone they stand. */
    public Map<HostId, ZoneId> connected() {
        Map<HostId, ZoneId> connected = new HashMap<>();
        for (HostId host : knownHosts()) {
            ZoneId zone = zones.get(host);
            if (zone != null && transport.connected(host)) {
                connected.put(host, zone);
            }
        }
        return connected;
    }

    /** Notes which connections are down, and forgets hosts that have been away for long. */
    public synchronized void checkConnections() {
        long now = BootClock.nanos();
        for (HostId host : knownHosts()) {
            if (transport.connected(host)) {
                lastConnected.put(host, now);
                continue;
            }
            if (connectedHosts.remove(host)) {
                logger.info("control-host.lost host={}", host);
            }
            if (!seeds.contains(host) && now - lastConnected.get(host) > REMOVAL_TIMEOUT_NANOS) {
                lastConnected.remove(host);
                zones.remove(host);
                transport.unlink(host);
                logger.info("control-host.forgotten host={}", host);
            }
        }
    }

    /** Returns the frame in which this process says who it is and whom it knows. */
    public synchronized Frame introduction(boolean answer) {
        Introduction.Builder introduction =
                Introduction.newBuilder()
                        .setHost(settings.peerName().value())
                        .setControl(settings.control().isPresent())
                        .setZone(settings.zone().value())
                        .setAnswer(answer);
        lastConnected.keySet().stream()
                .filter(transport::connected)
                .forEach(host -> introduction.addControlHosts(host.value()));
        return Frame.newBuilder().setIntroduction(introduction).build();
    }

    /** Takes in another process's introduction. */
    public void receiveIntroduction(Introduction introduction) {
        List<HostId> named = new ArrayList<>();
        introduction.getControlHostsList().forEach(host -> named.add(new HostId(host)));
        if (introduction.getControl()) {
            HostId host = new HostId(introduction.getHost());
            named.add(host);
            if (!introduction.getZone().isEmpty()) {
                zones.put(host, new ZoneId(introduction.getZone()));
            }
        }
        addHosts(named);
    }

    private void connected(HostId host) {
        connectedHosts.add(host);
        logger.info("control-host.connected host={}", host);
        transport.send(host, introduction(false));
        onConnected.accept(host);
    }
}
