package io.stackhall.server.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.rpc.generated.fleet.FleetFollow;
import io.stackhall.rpc.generated.peer.Frame;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests of which entry hosts a control host notifies of an instance. */
class EntryFollowersTest {

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final EntryFollowers followers = new EntryFollowers(loop, new HostId("control-1"));
    private final List<Frame> atOwnFollower = new ArrayList<>();
    private final List<Frame> atOtherFollower = new ArrayList<>();

    @BeforeEach
    void follow() {
        followers.recordFollow(follow("entry-1", true), atOwnFollower::add);
        followers.recordFollow(follow("entry-2", false), atOtherFollower::add);
    }

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** An entry host whose primary is lost would go on sending to an instance that drains. */
    @Test
    void instanceThatDrainsIsToldToHostsOfOtherPrimariesToo() {
        followers.notifyAllFollowers(List.of(instance(InstanceState.DRAINING)));
        assertThat(atOwnFollower).hasSize(1);
        assertThat(atOtherFollower).hasSize(1);
    }

    /** Told by every control host, each load would reach each entry host several times. */
    @Test
    void instanceThatJoinsIsToldToOwnFollowersAlone() {
        followers.notifyOwnFollowers(List.of(instance(InstanceState.READY)));
        assertThat(atOwnFollower).hasSize(1);
        assertThat(atOtherFollower).isEmpty();
    }

    /** An entry host whose primary is lost learns of what it missed from the next one. */
    @Test
    void hostThatChoosesThisPrimaryNeedsTheFullState() {
        assertThat(followers.recordFollow(follow("entry-2", true), atOtherFollower::add)).isTrue();
        followers.notifyOwnFollowers(List.of(instance(InstanceState.READY)));
        assertThat(atOtherFollower).hasSize(1);
    }

    private static FleetFollow follow(String host, boolean primary) {
        return FleetFollow.newBuilder().setHost(host).setConnection(1).setPrimary(primary).build();
    }

    private static Instance instance(InstanceState state) {
        return new Instance(
                UpstreamId.parse("i-1"),
                new ServiceName("plain"),
                "10.0.0.1:1",
                new ZoneId("plateau"),
                4,
                state,
                1,
                Duration.ZERO,
                List.of(),
                Set.of(),
                Set.of(),
                0,
                Optional.empty());
    }
}
