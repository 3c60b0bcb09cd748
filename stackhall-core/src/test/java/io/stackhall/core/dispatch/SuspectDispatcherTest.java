package io.stackhall.core.dispatch;

import static io.stackhall.core.fleet.Instances.SERVICE;
import static io.stackhall.core.fleet.Instances.instance;
import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.core.quarantine.SuspectIsolation;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests where suspects go: requests that may have crashed an instance.
 *
 * <p>A dozen requests that shared a crashed instance are retried at once, at several hosts. If they
 * met at one instance again, its crash could not be attributed to one of them.
 */
class SuspectDispatcherTest {

    private static final long NOW = Duration.ofSeconds(100).toNanos();
    private static final Need NEED =
            new Need(SERVICE, Optional.empty(), Optional.empty(), List.of(), 0, 0, 1);

    private final SuspectIsolation trials = new SuspectIsolation();
    private final SuspectDispatcher host = host(trials, 1);

    @Test
    void copiesOfOneSuspectGoToOneInstanceFromAnyHost() {
        Set<UpstreamId> instances = new HashSet<>();
        for (int seed = 1; seed <= 20; seed++) {
            instances.add(sentTo(host(new SuspectIsolation(), seed), suspect("one")));
        }
        assertThat(instances).hasSize(1);
    }

    @Test
    void suspectsSpreadOverTheInstances() {
        Set<UpstreamId> instances = new HashSet<>();
        for (int number = 0; number < 40; number++) {
            instances.add(sentTo(host, suspect("suspect " + number)));
        }
        assertThat(instances).hasSize(4);
    }

    @Test
    void suspectsOfOneHostNeverShareAnInstance() {
        Set<UpstreamId> instances = new HashSet<>();
        for (int number = 0; number < 4; number++) {
            RequestDigest suspect = suspect("suspect " + number);
            UpstreamId instance = sentTo(host, suspect);
            trials.begin(instance, suspect);
            instances.add(instance);
        }
        assertThat(instances).hasSize(4);
        assertThat(choose(host, suspect("last"))).isEqualTo(new Choice.Apart());
        trials.end(instances.iterator().next(), suspect("of another"));
        assertThat(choose(host, suspect("last"))).isEqualTo(new Choice.Apart());
    }

    @Test
    void secondCopyWaitsForTheFirst() {
        RequestDigest suspect = suspect("one");
        UpstreamId instance = sentTo(host, suspect);
        trials.begin(instance, suspect);
        assertThat(choose(host, suspect)).isEqualTo(new Choice.Apart());
        trials.end(instance, suspect);
        assertThat(sentTo(host, suspect)).isEqualTo(instance);
    }

    private static SuspectDispatcher host(SuspectIsolation trials, int seed) {
        Dispatcher dispatcher = Dispatchers.of(new Random(seed));
        for (String name : List.of("a", "b", "c", "d")) {
            dispatcher.updateInstance(instance(name, 1));
        }
        return new SuspectDispatcher(dispatcher, trials);
    }

    private static UpstreamId sentTo(SuspectDispatcher host, RequestDigest suspect) {
        return choose(host, suspect) instanceof Choice.Send(var instance, var why)
                ? instance.id()
                : new UpstreamId("nowhere");
    }

    private static Choice choose(SuspectDispatcher host, RequestDigest suspect) {
        return host.choose(suspect, NEED, id -> true, false, NOW);
    }

    private static RequestDigest suspect(String content) {
        return RequestDigest.of(
                "POST", "a.example", "/x", content.getBytes(StandardCharsets.UTF_8));
    }
}
