package io.stackhall.server.gateway;

import io.stackhall.core.dispatch.Need;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.route.Route;
import io.stackhall.core.stream.StreamKey;
import io.stackhall.core.stream.StreamOrigin;
import io.stackhall.core.stream.TakeUp;
import java.time.Duration;
import java.util.function.Consumer;

/** Keeps the stream of one request at the software that brought its first event. */
final class StreamBinding {

    private final StreamOriginClient origins;
    private final CallerRequest request;
    private final Route route;
    private boolean begun;

    StreamBinding(StreamOriginClient origins, CallerRequest request, Route route) {
        this.origins = origins;
        this.request = request;
        this.route = route;
    }

    /** Returns whether the request goes on with a stream that began with an earlier one. */
    boolean isTakenUp() {
        return route.resumable() && request.takesUpStream();
    }

    /** Finds out whether the stream that the request takes up goes on. */
    void inquire(Consumer<TakeUp> decided) {
        origins.inquire(request.resumedId().map(StreamKey::of), route, maxLife(), decided);
    }

    /**
     * Records an event, the first of which binds all further attempts to the instance's software.
     *
     * @param need what the request has needed so far
     * @return what it needs from now on
     */
    Need eventReceived(Instance instance, Need need) {
        if (begun || !route.resumable()) {
            return need;
        }
        begun = true;
        if (instance.software().isEmpty()) {
            return need;
        }
        StreamOrigin origin = new StreamOrigin(instance.service(), instance.software().get());
        String firstAttempt = request.resumedId().orElseGet(request::id);
        if (!firstAttempt.isEmpty()) {
            origins.begun(StreamKey.of(firstAttempt), origin, maxLife());
        }
        return need.atVersion(origin.software());
    }

    private Duration maxLife() {
        return route.maxStreamLife(Duration.ofMillis(request.deadlineMillis().orElse(0)));
    }

    /** Returns whether another instance may go on with the stream after its first event. */
    boolean mayGoOn(Need need) {
        return !begun || need.software().isPresent();
    }
}
