package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.limit.PermitWaits;
import java.time.Duration;
import java.util.Optional;

/** What the dispatcher chooses for a request at one moment. */
public sealed interface Choice {

    /** The request can be sent to this instance. */
    record Send(Instance instance, String why) implements Choice {}

    /**
     * The request waits for a slot: every instance that could run it is full.
     *
     * @param placesPerSecond how many requests per second this host can send to those instances, or
     *     0 if that is unknown
     */
    record Full(double placesPerSecond) implements Choice {}

    /**
     * The request waits until an instance that could run it accepts requests from this host again.
     */
    sealed interface HeldBack extends Choice {

        /** Returns the instance that the request waits for. */
        Instance instance();

        /**
         * Returns how long the request has to wait until it may be sent to that instance.
         *
         * @param ahead the number of requests for the same model that are sent before it
         */
        Duration expectedWait(int ahead);

        /** Returns what the request waits for, as it is written to the log. */
        WaitReason reason();

        /** Returns the choice without that instance, or empty if there is no other instance. */
        Optional<Choice> otherwise();
    }

    /**
     * The request waits for a permit: the instance that could run it accepts only a limited number
     * of requests per second from all hosts together.
     *
     * @param waits when permits can be expected
     */
    record Limited(Instance instance, PermitWaits waits, Optional<Choice> otherwise)
            implements HeldBack {

        @Override
        public Duration expectedWait(int ahead) {
            return waits.waitBehind(ahead);
        }

        @Override
        public WaitReason reason() {
            return WaitReason.LIMIT;
        }
    }

    /**
     * The request waits until a rest ends: the instance that could run it has asked this host to
     * send nothing for a while.
     *
     * @param left the remaining time of the rest
     */
    record Resting(Instance instance, Duration left, Optional<Choice> otherwise)
            implements HeldBack {

        @Override
        public Duration expectedWait(int ahead) {
            return left;
        }

        @Override
        public WaitReason reason() {
            return WaitReason.REST;
        }
    }

    /** The request waits for its adapter, which is to be loaded on this instance. */
    record AdapterMissing(Instance instance) implements Choice {}

    /**
     * The request waits for its model, which no instance holds or loads.
     *
     * @param load the load time of the model from its nearest copy
     */
    record ModelMissing(Duration load) implements Choice {}

    /**
     * The request waits for its model, which is being loaded.
     *
     * @param left the remaining time of the load
     */
    record ModelComing(Duration left) implements Choice {}

    /**
     * This host reaches no instance, neither itself nor through another host.
     *
     * @param retryAfter when the caller should come back
     */
    record NoPath(Duration retryAfter) implements Choice {}

    /**
     * The request may run at one version of the software only, and no instance of that version
     * serves it.
     */
    record VersionMissing() implements Choice {}

    /** No instance of the service is known that accepts requests. */
    record NobodyServes() implements Choice {}

    /**
     * Every instance of the service that accepts requests has already been tried or was
     * unreachable.
     */
    record AllTried() implements Choice {}

    /**
     * The request must run in isolation and waits until another such request has left its instance.
     */
    record Apart() implements Choice {}
}
