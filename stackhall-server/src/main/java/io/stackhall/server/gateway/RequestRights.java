package io.stackhall.server.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.stackhall.core.customer.AllowanceVerdict;
import io.stackhall.core.customer.Customer;
import io.stackhall.core.customer.CustomerLimit;
import io.stackhall.core.customer.KeyAccess;
import io.stackhall.core.customer.KeyDigest;
import io.stackhall.core.route.Route;
import io.stackhall.server.clock.BootClock;
import java.time.Duration;
import java.util.List;
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
    private final List<KeyDigest> keys;
    private final Route route;
    private final Runnable decided;
    private Optional<Customer> customer = Optional.empty();
    private Grant grant = new Grant.None();
    private double cost;
    private boolean closed;

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
        this.keys = request.keys();
        this.route = route;
        this.decided = decided;
    }

    /** Returns whose the request is, as it was judged last. */
    Optional<Customer> customer() {
        return customer;
    }

    /** Returns the rank of the request. */
    int rank() {
        return customer.map(one -> one.combinedRank(route.rank())).orElse(route.rank());
    }

    /** Judges by the configuration in force, and asks for the allowance where that is needed. */
    Right judge() {
        return switch (gate.judge(keys, route)) {
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
            case Grant.Given ignored -> new Right.Good();
            case Grant.None() -> {
                ask(holder, limit.get(), 0);
                yield new Right.Awaited();
            }
        };
    }

    /**
     * Returns whether a request that was judged to be good may be sent this very moment; if its
     * grant is too old, another is asked for.
     */
    boolean fresh() {
        boolean old =
                grant instanceof Grant.Given(long at)
                        && BootClock.nanos() - at >= GRANT_HOLDS.toNanos();
        Optional<CustomerLimit> limit = customer.flatMap(gate::limit);
        if (!old || limit.isEmpty()) {
            return true;
        }
        ask(customer.get(), limit.get(), cost);
        return false;
    }

    private void ask(Customer holder, CustomerLimit limit, double returned) {
        cost = limit.cost(request.tokens());
        grant = new Grant.Asked();
        gate.allowances().ask(holder, cost, returned, this::answered);
    }

    private void answered(AllowanceVerdict verdict) {
        if (closed) {
            giveBackLate(verdict);
            return;
        }
        grant =
                switch (verdict) {
                    case AllowanceVerdict.Granted() -> new Grant.Given(BootClock.nanos());
                    case AllowanceVerdict.Denied(Duration after) -> new Grant.Refused(after);
                };
        decided.run();
    }

    /** The request has ended before its grant came. */
    private void giveBackLate(AllowanceVerdict verdict) {
        if (verdict instanceof AllowanceVerdict.Granted) {
            customer.ifPresent(holder -> gate.allowances().giveBack(holder, cost));
        }
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
        closed = true;
    }
}
