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
 * Authorizes one request: authenticates its customer and claims its cost from the customer's
 * allowance. Both are evaluated again before each send, since a key may have been revoked and a
 * grant may have expired by then.
 */
final class RequestAuthorization {

    /**
     * How long an unused grant may be used. A request that waits longer claims again, so that
     * requests that were granted over a longer time and waited together do not run together beyond
     * their customer's limit.
     */
    private static final Duration GRANT_VALIDITY = Duration.ofMillis(300);

    /** Retry delay while keys cannot be verified: keys are confirmed every second. */
    private static final Duration CONFIRMATION_INTERVAL = Duration.ofSeconds(1);

    private final CustomerAccess customerAccess;
    private final CallerRequest request;
    private final List<KeyDigest> keyDigests;
    private final Route route;
    private final Runnable onDecision;
    private Optional<Customer> customer = Optional.empty();
    private Grant grant = new Grant.NotRequested();
    private double cost;
    private boolean decidedByLeader;
    private boolean closed;

    /** State of the claim on the customer's allowance. */
    private sealed interface Grant {

        /** The allowance has not been claimed. */
        record NotRequested() implements Grant {}

        /** The allowance has been claimed and the decision is pending. */
        record Requested() implements Grant {}

        /** The claim was granted, at a time in nanoseconds of {@link BootClock}. */
        record Granted(long grantedAt) implements Grant {}

        /** The claim was denied. */
        record Denied(Duration retryAfter) implements Grant {}

        /** The grant was used to send the request. */
        record Used() implements Grant {}
    }

    /** Whether the request may be run now. */
    sealed interface Decision {

        /** It may be run. */
        record Allowed() implements Decision {}

        /** The decision on the customer's allowance is pending. */
        record Pending() implements Decision {}

        /**
         * It must not be run.
         *
         * @param retryAfter the delay after which a retry may succeed, empty if none will
         */
        record Refused(HttpResponseStatus status, String reason, Optional<Duration> retryAfter)
                implements Decision {}
    }

    /**
     * Creates the authorization of a request, not evaluated yet.
     *
     * @param onDecision run when a pending decision has been received
     */
    RequestAuthorization(
            CustomerAccess customerAccess,
            CallerRequest request,
            Route route,
            Runnable onDecision) {
        this.customerAccess = customerAccess;
        this.request = request;
        this.keyDigests = request.keyDigests();
        this.route = route;
        this.onDecision = onDecision;
    }

    /** Returns the customer found by the last evaluation. */
    Optional<Customer> customer() {
        return customer;
    }

    /** Returns the rank of the request by its route and customer, 0 being the most urgent. */
    int rank() {
        return customer.map(one -> one.combinedRank(route.rank())).orElse(route.rank());
    }

    /** Evaluates the request by the active configuration, and claims the allowance if needed. */
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
     * Returns whether an allowed request may be sent now; if its grant has expired, returns it and
     * claims another.
     */
    boolean ensureFreshGrant() {
        boolean expired =
                grant instanceof Grant.Granted(long at)
                        && BootClock.nanos() - at >= GRANT_VALIDITY.toNanos();
        Optional<CustomerLimit> limit = customer.flatMap(customerAccess::limit);
        if (!expired || limit.isEmpty()) {
            return true;
        }
        requestGrant(customer.get(), limit.get(), decidedByLeader ? cost : 0);
        return false;
    }

    private void requestGrant(Customer holder, CustomerLimit limit, double returned) {
        cost = limit.cost(request.tokenCount());
        grant = new Grant.Requested();
        customerAccess.allowanceClient().claim(holder, cost, returned, this::applyVerdict);
    }

    private void applyVerdict(AllowanceVerdict verdict, boolean byLeader) {
        decidedByLeader = byLeader;
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

    /** Returns a grant that has arrived after the end of the request. */
    private void returnLateGrant(AllowanceVerdict verdict) {
        if (verdict instanceof AllowanceVerdict.Granted) {
            returnGrant();
        }
    }

    /** Returns a grant of the leader. It has not counted what this host decided on its own. */
    private void returnGrant() {
        if (decidedByLeader) {
            customer.ifPresent(
                    holder -> customerAccess.allowanceClient().returnUnused(holder, cost));
        }
    }

    /** Marks the grant as used, when the request is sent to an upstream. */
    void useGrant() {
        if (grant instanceof Grant.Granted) {
            grant = new Grant.Used();
        }
    }

    /**
     * Ends the authorization with its request, and returns an unused grant to the allowance.
     *
     * @param run whether an upstream may have run the request
     */
    void close(boolean run) {
        boolean granted = grant instanceof Grant.Granted || grant instanceof Grant.Used;
        if (granted && !run) {
            returnGrant();
        }
        grant = new Grant.NotRequested();
        closed = true;
    }
}
