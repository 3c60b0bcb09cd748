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
final class RequestAuthorization {

    /**
     * A grant counts for the moment at which it was given; a request that waits longer asks anew,
     * so that what waits together is not run together beyond its customer's limit.
     */
    private static final Duration GRANT_VALIDITY = Duration.ofMillis(300);

    /** Keys are confirmed every second. */
    private static final Duration CONFIRMATION_INTERVAL = Duration.ofSeconds(1);

    private final CustomerAccess customerAccess;
    private final CallerRequest request;
    private final List<KeyDigest> keyDigests;
    private final Route route;
    private final Runnable onDecision;
    private Optional<Customer> customer = Optional.empty();
    private Grant grant = new Grant.NotRequested();
    private double cost;
    private boolean closed;

    /** What is known of the request's part of its customer's allowance. */
    private sealed interface Grant {

        /** It was not asked for. */
        record NotRequested() implements Grant {}

        /** It was asked for. */
        record Requested() implements Grant {}

        /** It was given at a moment of the process's clock. */
        record Granted(long grantedAt) implements Grant {}

        /** It was refused. */
        record Denied(Duration retryAfter) implements Grant {}

        /** The request has been sent with it. */
        record Used() implements Grant {}
    }

    /** Whether the request may be run now. */
    sealed interface Decision {

        /** It may. */
        record Allowed() implements Decision {}

        /** Its customer's allowance has been asked. */
        record Pending() implements Decision {}

        /**
         * It may not.
         *
         * @param retryAfter when it may be worth another try, if it ever is
         */
        record Refused(HttpResponseStatus status, String reason, Optional<Duration> retryAfter)
                implements Decision {}
    }

    /**
     * Creates the rights of a request that were not judged yet.
     *
     * @param decided run when an answer has come for which the request had to wait
     */
    RequestAuthorization(
            CustomerAccess gate, CallerRequest request, Route route, Runnable decided) {
        this.customerAccess = gate;
        this.request = request;
        this.keyDigests = request.keyDigests();
        this.route = route;
        this.onDecision = decided;
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
    Decision evaluate() {
        return switch (customerAccess.authenticate(keyDigests, route)) {
            case KeyAccess.Verdict.Anyone() -> new Decision.Allowed();
            case KeyAccess.Verdict.Of(Customer holder) -> evaluateCustomer(holder);
            case KeyAccess.Verdict.Unknown(String reason) ->
                    new Decision.Refused(HttpResponseStatus.UNAUTHORIZED, reason, Optional.empty());
            case KeyAccess.Verdict.Uncertain() ->
                    new Decision.Refused(
                            HttpResponseStatus.SERVICE_UNAVAILABLE,
                            "this host cannot tell whether keys still hold",
                            Optional.of(CONFIRMATION_INTERVAL));
        };
    }

    private Decision evaluateCustomer(Customer holder) {
        customer = Optional.of(holder);
        Optional<CustomerLimit> limit = customerAccess.limit(holder);
        if (limit.isEmpty()) {
            return new Decision.Allowed();
        }
        return switch (grant) {
            case Grant.Used() -> new Decision.Allowed();
            case Grant.Requested() -> new Decision.Pending();
            case Grant.Denied(Duration retryAfter) ->
                    new Decision.Refused(
                            HttpResponseStatus.TOO_MANY_REQUESTS,
                            "customer " + holder.id() + " is at its limit",
                            Optional.of(retryAfter));
            case Grant.Granted ignored -> new Decision.Allowed();
            case Grant.NotRequested() -> {
                requestGrant(holder, limit.get(), 0);
                yield new Decision.Pending();
            }
        };
    }

    /**
     * Returns whether a request that was judged to be good may be sent this very moment; if its
     * grant is too old, another is asked for.
     */
    boolean ensureFreshGrant() {
        boolean old =
                grant instanceof Grant.Granted(long at)
                        && BootClock.nanos() - at >= GRANT_VALIDITY.toNanos();
        Optional<CustomerLimit> limit = customer.flatMap(customerAccess::limit);
        if (!old || limit.isEmpty()) {
            return true;
        }
        requestGrant(customer.get(), limit.get(), cost);
        return false;
    }

    private void requestGrant(Customer holder, CustomerLimit limit, double returned) {
        cost = limit.cost(request.tokenCount());
        grant = new Grant.Requested();
        customerAccess.allowanceClient().claim(holder, cost, returned, this::applyVerdict);
    }

    private void applyVerdict(AllowanceVerdict verdict) {
        if (closed) {
            returnLateGrant(verdict);
            return;
        }
        grant =
                switch (verdict) {
                    case AllowanceVerdict.Granted() -> new Grant.Granted(BootClock.nanos());
                    case AllowanceVerdict.Denied(Duration after) -> new Grant.Denied(after);
                };
        onDecision.run();
    }

    /** The request has ended before its grant came. */
    private void returnLateGrant(AllowanceVerdict verdict) {
        if (verdict instanceof AllowanceVerdict.Granted) {
            customer.ifPresent(
                    holder -> customerAccess.allowanceClient().returnUnused(holder, cost));
        }
    }

    /** The request is sent to an upstream. */
    void useGrant() {
        if (grant instanceof Grant.Granted) {
            grant = new Grant.Used();
        }
    }

    /**
     * The request has ended.
     *
     * @param run whether an upstream may have run it
     */
    void close(boolean run) {
        boolean held = grant instanceof Grant.Granted || grant instanceof Grant.Used;
        if (held && !run) {
            customer.ifPresent(
                    holder -> customerAccess.allowanceClient().returnUnused(holder, cost));
        }
        grant = new Grant.NotRequested();
        closed = true;
    }
}
