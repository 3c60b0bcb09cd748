package io.stackhall.server.standin;

import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.server.json.Json;
import io.stackhall.server.settings.Address;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * One stand-in upstream: it announces itself, takes orders and requests, and counts what it does.
 *
 * <p>For the demo and for tests of a running system; it is never part of one.
 */
public final class StandIn implements AutoCloseable {

    private static final Logger logger = LogManager.getLogger(StandIn.class);

    private static final long ANNOUNCE_MILLIS = 500;
    private static final long TIMEOUT_MILLIS = 1000;
    private static final int ACCELERATORS = 4;

    private final StandInOptions options;
    private final StandInMemory memory;
    private final StandInRuns runs = new StandInRuns();
    private final long incarnation = System.currentTimeMillis();
    private final Server server;
    private final HttpClient client;
    private final ScheduledExecutorService clock;
    private volatile boolean leaving;
    private int turn;

    /** Creates a stand-in over a started client; it does not listen yet. */
    public StandIn(StandInOptions options, HttpClient client) {
        this.options = options;
        this.memory = new StandInMemory(options, incarnation);
        this.client = client;
        this.clock =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofVirtual().name("announce").factory());
        QueuedThreadPool threads = new QueuedThreadPool(8);
        threads.setReservedThreads(0);
        threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server = new Server(threads);
        ServerConnector connector =
                new ServerConnector(
                        server, 1, 1, new HttpConnectionFactory(new HttpConfiguration()));
        connector.setHost(options.address().ip());
        connector.setPort(options.address().port());
        server.addConnector(connector);
        server.setHandler(new StandInHandler(options, memory, runs, this::announceSoon));
    }

    /** Starts to listen and to announce itself. */
    public void start() throws Exception {
        server.start();
        clock.scheduleAtFixedRate(this::announce, 0, ANNOUNCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Announces that it leaves, and returns once nothing runs any more. */
    public void leave() throws InterruptedException {
        runs.leave();
        leaving = true;
        announceSoon();
        Thread.sleep(2 * ANNOUNCE_MILLIS);
        while (runs.running() > 0) {
            Thread.sleep(ANNOUNCE_MILLIS);
        }
    }

    @Override
    public void close() throws Exception {
        clock.shutdownNow();
        server.stop();
        logger.info(
                "stand-in.stopped runs={} lastBegunAfterLeaveMs={}",
                runs.total(),
                runs.lastBegunAfterLeave().toMillis());
    }

    private void announceSoon() {
        if (!clock.isShutdown()) {
            clock.execute(this::announce);
        }
    }

    /** Tells one host after the other; one that does not answer is passed over. */
    private void announce() {
        byte[] body = Json.write(Announcement.class, announcement());
        for (int tries = 0; tries < options.announceTo().size(); tries++) {
            Address to = options.announceTo().get(turn++ % options.announceTo().size());
            if (tell(to, body)) {
                return;
            }
        }
    }

    private boolean tell(Address to, byte[] body) {
        try {
            int status =
                    client.POST("http://" + to + "/announce")
                            .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                            .body(new BytesRequestContent("application/json", body))
                            .send()
                            .getStatus();
            return status == 200;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return true;
        } catch (ExecutionException | TimeoutException e) {
            return false;
        }
    }

    private Announcement announcement() {
        long sequence = memory.nextSequence();
        int running = runs.running();
        int inSlots = Math.min(running, options.slots());
        List<ServiceName> services = options.services().stream().map(ServiceName::new).toList();
        return new Announcement(
                new UpstreamId(options.id()),
                new ZoneId(options.zone()),
                options.advertised(),
                incarnation,
                sequence,
                services,
                new Announcement.Memory(
                        ACCELERATORS,
                        options.memoryMib(),
                        options.reservedMib(),
                        memory.residents()),
                new Announcement.Load(options.slots(), inSlots, running - inSlots),
                new Announcement.Fencing(options.fencing(), memory.highestFence()),
                leaving,
                List.of());
    }
}
