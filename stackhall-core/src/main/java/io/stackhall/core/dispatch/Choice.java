package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.limit.PermitWaits;
import java.time.Duration;
import java.util.Optional;

/** What is to become of a request now. */
public sealed interface Choice {

    /** It can be sent to this instance. */
    record Send(Instance instance, String why) implements Choice {}

    /**
     * It waits for a place: every instance that could run it is full.
     *
     * @param placesPerSecond how many requests this host can send to them, or 0 where that is not
     *     known
     */
    record Full(double placesPerSecond) implements Choice {}

    /** It waits until whoever could run it now takes more of this host. */
    sealed interface HeldBack extends Choice {

        /** Returns the instance that it waits for. */
        Instance instance();

        /**
         * Returns when it may be sent there.
         *
         * @param ahead how many requests for the same model are sent before it
         */
        Duration expectedWait(int ahead);

        /** Returns what is waited for, as the log tells it. */
        WaitReason reason();

        /**
         * Returns what would become of it without that instance, or nothing where there is no other
         * one.
         */
        Optional<Choice> otherwise();
    }

    /**
     * It waits for a permit: whoever could run it now takes only so many requests a second from all
     * hosts.
     *
     * @param waits when permits may be expected
     */
    record Limited(Instance instance, PermitWaits waits, Optional<Choice> otherwise)
            implements HeldBack {

        @Override
        public Duration expectedWait(int ahead) {
            return waits.behind(ahead);
        }

        @Override
        public WaitReason reason() {
            return WaitReason.LIMIT;
        }
    }

    /**
     * It waits until a rest ends: whoever could run it now wants nothing from this host.
     *
     * @param left how much longer the rest lasts
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

    /** It waits for the adapter, which is to be made resident on this instance. */
    record AdapterMissing(Instance instance) implements Choice {}

    /**
     * It waits for its model.
     *
     * @param load how long the model's load takes where its weights are nearest at hand
     */
    record ModelMissing(Duration load) implements Choice {}

    /**
     * It waits for its model, which is being loaded.
     *
     * @param left how much longer the load takes
     */
    record ModelComing(Duration left) implements Choice {}

    /** No instance of its service is known that may take work. */
    record NobodyServes() implements Choice {}

    /** Every instance of its service that may take work has had it, or could not be reached. */
    record AllTried() implements Choice {}

    /** It waits until another request that is to be kept apart from it has left its instance. */
    record Apart() implements Choice {}
}
