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
 * The control hosts that this process knows: the seeds, and the control hosts that other hosts name
 * in their introductions. A connection is maintained to each of them. A host that stays unreachable
 * for 30 seconds is removed unless it is a seed.
 */
public final class ControlHosts {

    private static final Logger logger = LogManager.getLogger(ControlHosts.class);

    /**
     * Exceeds the absence of a host that restarts or is cut off; a replaced host does not return.
     */
    private static final long REMOVAL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final FleetSettings settings;
    private final PeerTransport transport;
    private final Consumer<HostId> onConnected;
    private final Map<HostId, Long> lastConnected = new LinkedHashMap<>();
    private final Set<HostId> connectedHosts = ConcurrentHashMap.newKeySet();
    private final Map<HostId, ZoneId> zones = new ConcurrentHashMap<>();
    private Set<HostId> seeds;

    /**
     * Creates the list without connecting.
     *
     * @param onConnected called on a network thread whenever a connection to a host is established
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

    /** Replaces the seeds and connects to the new ones. */
    public synchronized void setSeeds(Collection<HostId> newSeeds) {
        seeds = Set.copyOf(newSeeds);
        addHosts(newSeeds);
    }

    /** Adds and connects to the hosts that are not known yet. */
    public synchronized void addHosts(Collection<HostId> hosts) {
        for (HostId host : hosts) {
            boolean known = host.equals(settings.peerName()) || lastConnected.containsKey(host);
            if (!known) {
                lastConnected.put(host, BootClock.nanos());
                logger.info("control-host.learned host={}", host);
                transport.link(host, Address.parse(host.value()), () -> connected(host));
            }
        }
    }

    /** Returns the known control hosts except this one. */
    public synchronized List<HostId> knownHosts() {
        return new ArrayList<>(lastConnected.keySet());
    }

    /** Returns the zones of the connected hosts that have announced their zone. */
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

    /** Logs lost connections and removes the hosts that timed out; called periodically. */
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

    /**
     * Returns a frame with the address and zone of this process and its connected control hosts.
     *
     * @param answer whether it answers an introduction of the other host
     */
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

    /** Handles another process's introduction and adds the control hosts that it names. */
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
