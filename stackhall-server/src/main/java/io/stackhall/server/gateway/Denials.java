package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.stackhall.core.route.DenialPolicy;
import io.stackhall.core.route.DenialPolicy.Verdict;
import io.stackhall.server.clock.BootClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Holds requests that the active configuration does not allow until a quorum has confirmed whether
 * it is the newest. Used on one event loop.
 */
final class Denials {

    /** Time after which a confirmation is requested through all control hosts. */
    private static final long PRIMARY_TIMEOUT_MILLIS = 130;

    private final EventLoop loop;
    private final DenialPolicy policy;
    private final LongSupplier routesVersion;
    private long reported = -1;
    private Runnable askPrimary = () -> {};
    private Runnable askAll = () -> {};
    private List<Runnable> held = new ArrayList<>();

    /** Receives what becomes of a request. */
    interface Outcome {

        /** Denies the request for good. */
        void deny();

        /** Refuses the request, which another configuration may allow. */
        void refuse(Duration retryAfter);

        /** Considers the request again, by the configuration that is active now. */
        void reconsider();
    }

    /**
     * Creates the denials of a host that has no routes yet.
     *
     * @param routesVersion returns the active version of the routes, negative if there is none
     */
    Denials(EventLoop loop, DenialPolicy policy, LongSupplier routesVersion) {
        this.loop = loop;
        this.policy = policy;
        this.routesVersion = routesVersion;
    }

    /** Records the newest version of the routes that a control host has reported. */
    void setReported(long version) {
        reported = version;
    }

    /** Returns how old the active routes may be. */
    RoutesStanding standing() {
        return new RoutesStanding(
                routesVersion.getAsLong(), reported, policy.confirmationAge(BootClock.nanos()));
    }

    /**
     * Sets what requests a quorum's confirmation of the active configuration, through one control
     * host and through all of them.
     */
    void setConfirmationRequests(Runnable throughPrimary, Runnable throughAll) {
        askPrimary = throughPrimary;
        askAll = throughAll;
    }

    /** Denies or refuses a request at once, or has it reconsidered later. */
    void decide(Outcome outcome) {
        switch (policy.decide(BootClock.nanos())) {
            case Verdict.Deny() -> outcome.deny();
            case Verdict.Refuse(Duration retryAfter, boolean ask) -> {
                ask(ask);
                outcome.refuse(retryAfter);
            }
            case Verdict.Hold(boolean ask) -> {
                held.add(outcome::reconsider);
                ask(ask);
            }
        }
    }

    /**
     * Records that a quorum has confirmed the active configuration as the newest.
     *
     * @param askedAt when this host asked for it, in nanoseconds of {@code BootClock}
     */
    void confirmed(long askedAt) {
        policy.confirmed(askedAt);
        resumeAll();
    }

    /** Reconsiders all requests that are held. */
    void resumeAll() {
        List<Runnable> all = held;
        held = new ArrayList<>();
        all.forEach(Runnable::run);
    }

    private void ask(boolean due) {
        if (!due) {
            return;
        }
        askPrimary.run();
        loop.schedule(this::askAllIfHeld, PRIMARY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        loop.schedule(
                this::resumeAll, DenialPolicy.ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void askAllIfHeld() {
        if (!held.isEmpty()) {
            askAll.run();
        }
    }
}
