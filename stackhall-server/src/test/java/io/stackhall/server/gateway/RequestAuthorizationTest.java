package io.stackhall.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
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
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.route.Route;
import io.stackhall.core.route.RouteKind;
import io.stackhall.rpc.generated.fleet.AllowanceAnswer;
import io.stackhall.rpc.generated.fleet.AllowanceAsk;
import io.stackhall.rpc.generated.fleet.AllowanceClaim;
import io.stackhall.rpc.generated.fleet.AllowanceDecision;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.gateway.RequestAuthorization.Decision;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks which allowance one request claims and returns while it waits, is sent and ends. The event
 * loop's time stands still unless a test advances it, so that a busy machine causes no timeout.
 */
class RequestAuthorizationTest {

    private static final HostId LEADER = new HostId("10.0.0.1:7400");
    private static final HostId SELF = new HostId("10.0.0.2:7400");
    private static final Customer NORTH =
            new Customer(
                    new CustomerId("north"),
                    Set.of(KeyDigest.of("k")),
                    OptionalInt.empty(),
                    Optional.of(new CustomerLimit(CustomerLimit.Unit.TOKENS, 100, 100, 7)));

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeLeader fakeLeader = new FakeLeader();
    private CustomerAccess customerAccess;
    private AllowanceClient client;

    /** Records the claims that it receives; {@link #answerAll} grants them. */
    private static final class FakeLeader implements ControlHostConnections {
        private final List<AllowanceClaim> claims = new ArrayList<>();
        private final List<AllowanceAsk> questions = new ArrayList<>();

        @Override
        public boolean send(HostId host, Frame frame) {
            questions.add(frame.getAllowanceAsk());
            claims.addAll(frame.getAllowanceAsk().getClaimsList());
            return true;
        }

        @Override
        public List<HostId> known() {
            return List.of(LEADER);
        }

        @Override
        public List<HostId> connected() {
            return List.of(LEADER);
        }

        @Override
        public Map<HostId, ZoneId> zones() {
            return Map.of(LEADER, new ZoneId("plateau"));
        }
    }

    @BeforeEach
    void open() {
        channel.freezeTime();
        open(new LimitTolerance(Duration.ofSeconds(8), 0, 0));
    }

    private void open(LimitTolerance tolerance) {
        OutageAllowance outage = new OutageAllowance(tolerance, new Random(1));
        client = new AllowanceClient(SELF, channel.eventLoop(), fakeLeader, outage, () -> 1);
        customerAccess = new CustomerAccess(new KeyLease(Optional.empty()), outage, client);
        customerAccess.setCustomers(new Customers(List.of(NORTH)));
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    @Test
    void waitingRequestClaimsOnceAndAgainOnlyBeforeSending() throws Exception {
        RequestAuthorization authorization = authorization();
        assertThat(evaluate(authorization)).isInstanceOf(Decision.Pending.class);
        answerAll();
        for (int evaluation = 0; evaluation < 16; evaluation++) {
            assertThat(evaluate(authorization)).isInstanceOf(Decision.Allowed.class);
            TimeUnit.MILLISECONDS.sleep(25);
        }
        assertThat(fakeLeader.claims).hasSize(1);
        assertThat(authorization.ensureFreshGrant()).isFalse();
        settle();
        assertThat(fakeLeader.claims).hasSize(2);
        assertThat(fakeLeader.claims.getLast().getReturned()).isEqualTo(7);
        answerAll();
        assertThat(authorization.ensureFreshGrant()).isTrue();
    }

    @Test
    void grantAfterRequestEndIsReturned() {
        RequestAuthorization authorization = authorization();
        evaluate(authorization);
        authorization.close(false);
        answerAll();
        assertThat(fakeLeader.claims).hasSize(2);
        assertThat(fakeLeader.claims.getLast().getNumber()).isZero();
        assertThat(fakeLeader.claims.getLast().getReturned()).isEqualTo(7);
    }

    @Test
    void allowanceOfSentButNotRunRequestIsReturned() {
        RequestAuthorization authorization = authorization();
        evaluate(authorization);
        answerAll();
        authorization.useGrant();
        authorization.close(false);
        settle();
        assertThat(fakeLeader.claims.getLast().getReturned()).isEqualTo(7);
    }

    /** Guards against a loss of the leader that is inferred from the host's own delay. */
    @Test
    void delayOfTheEventLoopIsNoTimeoutOfTheLeader() {
        RequestAuthorization authorization = authorization();
        evaluate(authorization);
        advance(Duration.ofMillis(300));
        assertThat(authorization.evaluate()).isInstanceOf(Decision.Pending.class);
        answerAll();
        assertThat(authorization.evaluate()).isInstanceOf(Decision.Allowed.class);
    }

    /** Guards against requests that wait for a lost leader beyond their latency objective. */
    @Test
    void silentLeaderIsReplacedByLocalDecisionAfterTheTimeout() {
        RequestAuthorization authorization = authorization();
        evaluate(authorization);
        for (int millis = 0; millis < 99; millis++) {
            advance(Duration.ofMillis(1));
        }
        assertThat(authorization.evaluate()).isInstanceOf(Decision.Pending.class);
        advance(Duration.ofMillis(1));
        assertThat(authorization.evaluate()).isInstanceOf(Decision.Refused.class);
    }

    /** Guards against returns to a leader that has not granted, by which limits are exceeded. */
    @Test
    void grantOfThisHostItselfIsNotReturnedToTheLeader() {
        LimitTolerance ample = new LimitTolerance(Duration.ofSeconds(8), 0, 1e12);
        open(ample);
        RequestAuthorization authorization = authorization();
        evaluate(authorization);
        for (int step = 0; step < 4; step++) {
            advance(Duration.ofMillis(25));
        }
        assertThat(authorization.evaluate()).isInstanceOf(Decision.Allowed.class);
        client.receive(
                AllowanceAnswer.newBuilder().setLeads(true).setLeader(LEADER.value()).build());
        authorization.close(false);
        settle();
        assertThat(fakeLeader.claims).hasSize(1);
    }

    /** Guards against an outage in which the reserved share of the limit is not used. */
    @Test
    void reservedShareIsUsedAfterASecondWithoutAnswers() throws Exception {
        assertThat(decisionAfterSilence(7)).isInstanceOf(Decision.Allowed.class);
        assertThat(decisionAfterSilence(0)).isInstanceOf(Decision.Refused.class);
    }

    private Decision decisionAfterSilence(long leadership) throws Exception {
        open(new LimitTolerance(Duration.ofSeconds(8), 0, 1e-6));
        client.receive(
                AllowanceAnswer.newBuilder()
                        .setLeads(true)
                        .setLeader(LEADER.value())
                        .setLeadership(leadership)
                        .setEntryHosts(1)
                        .build());
        TimeUnit.MILLISECONDS.sleep(1200);
        RequestAuthorization authorization = authorization();
        evaluate(authorization);
        for (int step = 0; step < 4; step++) {
            advance(Duration.ofMillis(25));
        }
        return authorization.evaluate();
    }

    /** Guards against a new leader that keeps reserving the share of a reachable host. */
    @Test
    void newLeadershipIsToldAtOnceThatItsAnswerArrived() {
        AllowanceAnswer answer =
                AllowanceAnswer.newBuilder()
                        .setLeads(true)
                        .setLeader(LEADER.value())
                        .setLeadership(7)
                        .setAskedAt(5)
                        .setEntryHosts(3)
                        .build();
        client.receive(answer);
        client.receive(answer);
        assertThat(fakeLeader.questions)
                .containsExactly(
                        AllowanceAsk.newBuilder()
                                .setHost(SELF.value())
                                .setLeadership(7)
                                .setAskedAt(5)
                                .setEntryHosts(3)
                                .build());
    }

    /** Guards against idle hosts whose share is reserved, and against questions without limits. */
    @Test
    void idleHostAsksOnlyIfACustomerHasALimit() throws Exception {
        customerAccess.setCustomers(Customers.unrestricted());
        TimeUnit.MILLISECONDS.sleep(260);
        client.keepReachable();
        assertThat(fakeLeader.questions).isEmpty();
        customerAccess.setCustomers(new Customers(List.of(NORTH)));
        client.keepReachable();
        assertThat(fakeLeader.questions).hasSize(1);
        assertThat(fakeLeader.questions.getFirst().getHost()).isEqualTo(SELF.value());
    }

    /** Lets time pass in which the event loop runs nothing. */
    private void advance(Duration time) {
        channel.advanceTimeBy(time.toNanos(), TimeUnit.NANOSECONDS);
        settle();
    }

    private Decision evaluate(RequestAuthorization authorization) {
        Decision decision = authorization.evaluate();
        settle();
        return decision;
    }

    /** Waits until the tasks submitted to the event loop so far have run. */
    private void settle() {
        channel.runPendingTasks();
    }

    private void answerAll() {
        AllowanceAnswer.Builder answer =
                AllowanceAnswer.newBuilder().setLeads(true).setLeader(LEADER.value());
        fakeLeader.claims.stream()
                .filter(claim -> claim.getNumber() != 0)
                .forEach(
                        claim ->
                                answer.addDecisions(
                                        AllowanceDecision.newBuilder()
                                                .setNumber(claim.getNumber())
                                                .setGranted(true)));
        client.receive(answer.build());
        settle();
    }

    private RequestAuthorization authorization() {
        CallerRequest request =
                new CallerRequest(
                        HttpMethod.GET,
                        "/x",
                        new DefaultHttpHeaders().add("Authorization", "Token k"),
                        new byte[0],
                        0);
        return new RequestAuthorization(customerAccess, request, route(), () -> {});
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
