package io.stackhall.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.stackhall.core.customer.Customer;
import io.stackhall.core.customer.CustomerLimit;
import io.stackhall.core.customer.Customers;
import io.stackhall.core.customer.KeyDigest;
import io.stackhall.core.customer.KeyLease;
import io.stackhall.core.customer.LimitTolerance;
import io.stackhall.core.customer.OutageAllowance;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.route.Route;
import io.stackhall.core.route.RouteKind;
import io.stackhall.rpc.generated.fleet.AllowanceAnswer;
import io.stackhall.rpc.generated.fleet.AllowanceClaim;
import io.stackhall.rpc.generated.fleet.AllowanceDecision;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.gateway.RequestRights.Right;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What one request asks of its customer's allowance while it waits, is sent and ends. */
class RequestRightsTest {

    private static final HostId LEADER = new HostId("10.0.0.1:7400");
    private static final Customer NORTH =
            new Customer(
                    new CustomerId("north"),
                    Set.of(KeyDigest.of("k")),
                    OptionalInt.empty(),
                    Optional.of(new CustomerLimit(CustomerLimit.Unit.TOKENS, 100, 100, 7)));

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final FakeLeader leader = new FakeLeader();
    private CustomerGate gate;
    private AllowanceClient client;

    /** Takes down what it is asked, and answers when a test says so. */
    private static final class FakeLeader implements ControlWay {
        private final List<AllowanceClaim> claims = new ArrayList<>();

        @Override
        public boolean send(HostId host, Frame frame) {
            claims.addAll(frame.getAllowanceAsk().getClaimsList());
            return true;
        }

        @Override
        public List<HostId> connected() {
            return List.of(LEADER);
        }
    }

    @BeforeEach
    void open() {
        OutageAllowance outage =
                new OutageAllowance(new LimitTolerance(Duration.ofSeconds(8), 0, 0), new Random(1));
        client = new AllowanceClient(loop, leader, outage, () -> 1);
        gate = new CustomerGate(new KeyLease(Optional.empty()), outage, client);
        gate.customers(new Customers(List.of(NORTH)));
    }

    @AfterEach
    void close() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void requestThatWaitsAsksOnceAndAgainOnlyWhenItIsAboutToBeSent() throws Exception {
        RequestRights rights = rights();
        assertThat(judge(rights)).isInstanceOf(Right.Awaited.class);
        answerAll();
        for (int look = 0; look < 16; look++) {
            assertThat(judge(rights)).isInstanceOf(Right.Good.class);
            TimeUnit.MILLISECONDS.sleep(25);
        }
        assertThat(leader.claims).hasSize(1);
        assertThat(loop.submit(rights::fresh).get()).isFalse();
        settle();
        assertThat(leader.claims).hasSize(2);
        assertThat(leader.claims.getLast().getReturned()).isEqualTo(7);
        answerAll();
        assertThat(loop.submit(rights::fresh).get()).isTrue();
    }

    @Test
    void grantThatComesAfterTheEndIsGivenBack() throws Exception {
        RequestRights rights = rights();
        judge(rights);
        loop.submit(() -> rights.close(false)).get();
        answerAll();
        assertThat(leader.claims).hasSize(2);
        assertThat(leader.claims.getLast().getNumber()).isZero();
        assertThat(leader.claims.getLast().getReturned()).isEqualTo(7);
    }

    @Test
    void whatWasSentAndHasNotRunIsGivenBack() throws Exception {
        RequestRights rights = rights();
        judge(rights);
        answerAll();
        loop.submit(rights::use).get();
        loop.submit(() -> rights.close(false)).get();
        settle();
        assertThat(leader.claims.getLast().getReturned()).isEqualTo(7);
    }

    private Right judge(RequestRights rights) throws Exception {
        Right right = loop.submit(rights::judge).get();
        settle();
        return right;
    }

    /** Lets run what the loop was given meanwhile. */
    private void settle() throws Exception {
        loop.submit(() -> {}).get();
    }

    private void answerAll() throws Exception {
        AllowanceAnswer.Builder answer =
                AllowanceAnswer.newBuilder().setLeads(true).setLeader(LEADER.value());
        leader.claims.stream()
                .filter(claim -> claim.getNumber() != 0)
                .forEach(
                        claim ->
                                answer.addDecisions(
                                        AllowanceDecision.newBuilder()
                                                .setNumber(claim.getNumber())
                                                .setGranted(true)));
        loop.submit(() -> client.received(answer.build())).get();
        settle();
    }

    private RequestRights rights() {
        CallerRequest request =
                new CallerRequest(
                        HttpMethod.GET,
                        "/x",
                        new DefaultHttpHeaders().add("Authorization", "Token k"),
                        new byte[0],
                        0);
        return new RequestRights(gate, request, route(), () -> {});
    }

    private static Route route() {
        return new Route(
                "r",
                "a.example",
                "/",
                RouteKind.IDEMPOTENT,
                Duration.ofSeconds(4),
                Duration.ofMillis(400),
                0,
                List.of(new Route.Share(new ServiceName("s"), 1)),
                1,
                false,
                Duration.ZERO,
                Duration.ofSeconds(4),
                false);
    }
}
