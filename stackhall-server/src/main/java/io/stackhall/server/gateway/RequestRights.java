package io.stackhall.server.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.stackhall.core.customer.AllowanceVerdict;
import io.stackhall.core.customer.Customer;
import io.stackhall.core.customer.CustomerLimit;
import io.stackhall.core.customer.KeyAccess;
import io.stackhall.core.route.Route;
import io.stackhall.server.clock.BootClock;
import java.time.Duration;
import java.util.Optional;

/**
 * Whether one request may be run: whose it is, and its part of that customer's allowance. Both are
 * judged again at each send, since a key may go and a grant may be too old by then.
 */
final class RequestRights {

    /**
     * A grant counts for the moment at which it was given; a request that waits longer asks anew,
     * so that what waits together is not run together beyond its customer's limit.
     */
    private static final Duration GRANT_HOLDS = Duration.ofMillis(300);

    /** Keys are confirmed every second. */
    private static final Duration NEXT_CONFIRMATION = Duration.ofSeconds(1);

    private final CustomerGate gate;
    private final CallerRequest request;
    private final Route route;
    private final Runnable decided;
    private Optional<Customer> customer = Optional.empty();
    private Grant grant = new Grant.None();
    private double cost;

    /** What is known of the request's part of its customer's allowance. */
    private sealed interface Grant {

        /** It was not asked for. */
        record None() implements Grant {}

        /** It was asked for. */
        record Asked() implements Grant {}

        /** It was given at a moment of the process's clock. */
        record Given(long at) implements Grant {}

        /** It was refused. */
        record Refused(Duration retryAfter) implements Grant {}

        /** The request has been sent with it. */
        record Used() implements Grant {}
    }

    /** Whether the request may be run now. */
    sealed interface Right {

        /** It may. */
        record Good() implements Right {}

        /** Its customer's allowance has been asked. */
        record Awaited() implements Right {}

        /**
         * It may not.
         *
         * @param retryAfter when it may be worth another try, if it ever is
         */
        record Refused(HttpResponseStatus status, String reason, Optional<Duration> retryAfter)
                implements Right {}
    }

    /**
     * Creates the rights of a request that were not judged yet.
     *
     * @param decided run when an answer has come for which the request had to wait
     */
    RequestRights(CustomerGate gate, CallerRequest request, Route route, Runnable decided) {
        this.gate = gate;
        this.request = request;
        this.route = route;
        this.decided = decided;
    }

    /** Returns whose the request is, as it was judged last. */
    Optional<Customer> customer() {
        return customer;
    }

    /** Returns the rank of the request. */
    int rank() {
        return customer.map(one -> one.rankOn(route.rank())).orElse(route.rank());
    }

    /** Judges by the configuration in force, and asks for the allowance where that is needed. */
    Right judge() {
        return switch (gate.judge(request, route)) {
            case KeyAccess.Verdict.Anyone() -> new Right.Good();
            case KeyAccess.Verdict.Of(Customer holder) -> allowed(holder);
            case KeyAccess.Verdict.Unknown(String reason) ->
                    new Right.Refused(HttpResponseStatus.UNAUTHORIZED, reason, Optional.empty());
            case KeyAccess.Verdict.Uncertain() ->
                    new Right.Refused(
                            HttpResponseStatus.SERVICE_UNAVAILABLE,
                            "this host cannot tell whether keys still hold",
                            Optional.of(NEXT_CONFIRMATION));
        };
    }

    private Right allowed(Customer holder) {
        customer = Optional.of(holder);
        Optional<CustomerLimit> limit = gate.limit(holder);
        if (limit.isEmpty()) {
            return new Right.Good();
        }
        return switch (grant) {
            case Grant.Used() -> new Right.Good();
            case Grant.Asked() -> new Right.Awaited();
            case Grant.Refused(Duration retryAfter) ->
                    new Right.Refused(
                            HttpResponseStatus.TOO_MANY_REQUESTS,
                            "customer " + holder.id() + " is at its limit",
                            Optional.of(retryAfter));
            case Grant.Given(long at) -> {
                if (BootClock.nanos() - at < GRANT_HOLDS.toNanos()) {
                    yield new Right.Good();
                }
                yield ask(holder, limit.get(), cost);
            }
            case Grant.None() -> ask(holder, limit.get(), 0);
        };
    }

    private Right ask(Customer holder, CustomerLimit limit, double returned) {
        cost = limit.cost(request.tokens());
        grant = new Grant.Asked();
        gate.allowances().ask(holder, cost, returned, this::answered);
        return new Right.Awaited();
    }

    private void answered(AllowanceVerdict verdict) {
        grant =
                switch (verdict) {
                    case AllowanceVerdict.Granted() -> new Grant.Given(BootClock.nanos());
                    case AllowanceVerdict.Denied(Duration after) -> new Grant.Refused(after);
                };
        decided.run();
    }

    /** The request is sent to an upstream. */
    void use() {
        if (grant instanceof Grant.Given) {
            grant = new Grant.Used();
        }
    }

    /**
     * The request has ended.
     *
     * @param run whether an upstream may have run it
     */
    void close(boolean run) {
        boolean held = grant instanceof Grant.Given || grant instanceof Grant.Used;
        if (held && !run) {
            customer.ifPresent(holder -> gate.allowances().giveBack(holder, cost));
        }
        grant = new Grant.None();
    }
}
