package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.tests.harness.Eventually;
import io.stackhall.tests.harness.RunningProcess;
import io.stackhall.tests.harness.SeededHosts;
import io.stackhall.tests.harness.StreamingUpstream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * All entry hosts are killed at once while upstreams of two versions stream: callers that take
 * their streams up must never get events of both.
 */
class KilledEntryHostsTest {

    private static final int ENTRY_HOSTS = 3;
    private static final int STREAMS = 30;

    /** Hosts take some seconds to start again on a busy machine. */
    private static final int TRIES = 60;

    /** Longer than all tries take. Origins are kept for as long as callers say that they wait. */
    private static final String CALLER_WAIT_MILLIS = "60000";

    /** Callers come later than they say: hosts forget their streams earlier. */
    private static final String SHORT_WAIT_MILLIS = "3000";

    private static final int OK = 200;
    private static final String EVENT = "data: ";

    private static final String ROUTES =
            """
            {"version":1,"routes":[\
            {"name":"s","host":"a.example","path-prefix":"/s/","kind":"streaming",\
            "timeout-ms":8000,"target-latency-ms":500,"priority":1,"service":"plain",\
            "max-attempts":2,"resumable":true,"gap-aim-ms":400}],"services":[\
            {"name":"plain","health-path":"/h","max-connections":100}]}""";

    @TempDir private Path folder;
    private SeededHosts hosts;
    private final List<RunningProcess> controls = new ArrayList<>();
    private final List<RunningProcess> entries = new ArrayList<>();
    private final List<StreamingUpstream> upstreams = new ArrayList<>();
    private final ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();

    /** The streams of which an event has come, by the ids of their first attempts. */
    private final Set<String> begun = ConcurrentHashMap.newKeySet();

    /** What a caller got of one stream. */
    private record Received(boolean first, boolean takenUp, boolean whole, Set<String> software) {}

    private String callerWaitMillis = CALLER_WAIT_MILLIS;

    @BeforeEach
    void start() throws Exception {
        hosts = new SeededHosts(folder);
        for (int number = 1; number <= 3; number++) {
            controls.add(hosts.startControl(number, true));
        }
        startEntries();
        Eventually.holds("routes", () -> hosts.put(1, ROUTES) == OK);
        announce("v1");
        announce("v1");
        awaitServed();
    }

    @AfterEach
    void stop() {
        callers.shutdownNow();
        hosts.close();
        upstreams.forEach(StreamingUpstream::close);
    }

    @Test
    void streamsOfVersionsThatServeSideBySideGoOnAtTheirs() throws Exception {
        announce("v2");
        announce("v2");
        Eventually.pause(1000);
        List<Future<Received>> streams = begin();
        awaitBegun();
        killEntries();
        startEntries();
        List<Received> received = assertNoneIsJoined(streams);
        assertThatTheyGoOn(received);
    }

    // The hosts that passed its streams on may not have told anyone yet.
    @Test
    void streamsAreNotJoinedWithAVersionThatIsSeenForTheFirstTimeAsTheHostsAreKilled()
            throws Exception {
        callerWaitMillis = SHORT_WAIT_MILLIS;
        List<Future<Received>> streams = begin();
        awaitBegun();
        announce("v2");
        announce("v2");
        Eventually.pause(30);
        killEntries();
        startEntries();
        assertNoneIsJoined(streams);
    }

    @Test
    void streamsAreNotJoinedWithTheNextVersionAfterTheLastOfTheirsHasLeft() throws Exception {
        callerWaitMillis = SHORT_WAIT_MILLIS;
        announce("v2");
        announce("v2");
        Eventually.pause(1000);
        List<Future<Received>> streams = begin();
        awaitBegun();
        upstreams.stream().limit(2).forEach(StreamingUpstream::close);
        killEntries();
        startEntries();
        assertNoneIsJoined(streams);
    }

    // The others cannot vouch for a single version any more, and somebody has to know the streams.
    @Test
    void streamsOfASingleVersionGoOnThoughAControlHostWasKilledBefore() throws Exception {
        List<Future<Received>> streams = begin();
        awaitBegun();
        controls.getLast().kill();
        Eventually.pause(1200);
        killEntries();
        startEntries();
        List<Received> received = assertNoneIsJoined(streams);
        assertThatTheyGoOn(received);
    }

    // What control hosts remember of streams and versions is in their memory alone.
    @Test
    void streamsAreNotJoinedThoughControlHostsAreKilledToo() throws Exception {
        callerWaitMillis = SHORT_WAIT_MILLIS;
        announce("v2");
        announce("v2");
        Eventually.pause(1000);
        List<Future<Received>> streams = begin();
        awaitBegun();
        upstreams.stream().limit(2).forEach(StreamingUpstream::close);
        killEntries();
        controls.forEach(RunningProcess::kill);
        for (int number = 1; number <= 3; number++) {
            hosts.startControl(number, false);
        }
        startEntries();
        assertNoneIsJoined(streams);
    }

    private void announce(String software) throws IOException {
        upstreams.add(hosts.startStreaming("i-" + upstreams.size(), software));
    }

    private void startEntries() {
        entries.clear();
        for (int number = 1; number <= ENTRY_HOSTS; number++) {
            entries.add(hosts.startEntry(number, true));
        }
    }

    private void awaitServed() throws Exception {
        for (int number = 1; number <= ENTRY_HOSTS; number++) {
            int host = number;
            Eventually.holds("served by " + host, () -> receive(host, "warm" + host).whole());
        }
    }

    /** Kills the hosts before any stream can have ended, however slowly some of them began. */
    private void killEntries() {
        entries.forEach(RunningProcess::kill);
        upstreams.forEach(StreamingUpstream::release);
    }

    private void awaitBegun() {
        Eventually.holds("streams begun", () -> begun.size() >= STREAMS);
    }

    private List<Future<Received>> begin() {
        upstreams.forEach(StreamingUpstream::hold);
        begun.clear();
        List<Future<Received>> streams = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            int host = 1 + number % ENTRY_HOSTS;
            String id = "r" + number;
            streams.add(callers.submit(() -> receive(host, id)));
        }
        return streams;
    }

    /**
     * Asks for a stream, again for as long as no event of it comes, and then at the next host for
     * the rest for as long as it breaks off.
     */
    private Received receive(int host, String id) throws InterruptedException {
        List<String> lines = new ArrayList<>();
        String origin = id;
        boolean whole = read(host, id, lines);
        boolean atOnce = whole;
        for (int attempt = 1; attempt <= TRIES && !whole; attempt++) {
            Eventually.pause(200);
            String next = id + "-" + attempt;
            if (lines.isEmpty()) {
                origin = next;
                whole = read(host, next, lines);
            } else {
                whole =
                        read(
                                1 + (host + attempt) % ENTRY_HOSTS,
                                next,
                                lines,
                                "Last-Event-Id",
                                Integer.toString(lines.size()),
                                "Resumes",
                                origin);
            }
        }
        boolean all = whole && lines.size() == StreamingUpstream.EVENTS;
        return new Received(!lines.isEmpty(), !atOnce, all, new TreeSet<>(lines));
    }

    /** Adds the versions of the events that come, and returns whether the answer came whole. */
    private boolean read(int host, String id, List<String> versions, String... headers)
            throws InterruptedException {
        List<String> events = new ArrayList<>();
        try {
            List<String> all = new ArrayList<>(List.of("X-Deadline-Ms", callerWaitMillis));
            all.addAll(List.of(headers));
            int status =
                    hosts.stream(
                            host,
                            "/s/x",
                            id,
                            line -> {
                                if (line.startsWith(EVENT)) {
                                    begun.add(id.replaceFirst("-.*", ""));
                                }
                                events.add(line);
                            },
                            all.toArray(String[]::new));
            return status == OK;
        } catch (IOException e) {
            return false;
        } finally {
            events.stream()
                    .filter(line -> line.startsWith(EVENT))
                    .map(line -> line.substring(EVENT.length()))
                    .forEach(versions::add);
        }
    }

    /** Asserts that all were broken off, and that nine in ten go on. */
    private static void assertThatTheyGoOn(List<Received> received) {
        assertThat(received).allMatch(Received::takenUp);
        assertThat(received.stream().filter(Received::whole).count())
                .isGreaterThanOrEqualTo(STREAMS * 9 / 10);
    }

    private static List<Received> assertNoneIsJoined(List<Future<Received>> streams)
            throws Exception {
        List<Received> received = new ArrayList<>();
        for (Future<Received> stream : streams) {
            received.add(stream.get());
        }
        assertThat(received).hasSize(STREAMS).allMatch(Received::first);
        assertThat(received).allMatch(one -> one.software().size() <= 1);
        return received;
    }
}
