package io.stackhall.server.gateway;

import io.netty.handler.codec.http.HttpResponse;
import io.stackhall.core.config.Finding;
import io.stackhall.core.dispatch.Dispatcher;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.limit.LimitRevision;
import io.stackhall.platform.AnswerHeaders;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Handles what upstreams announce about themselves in the heads of their answers to one entry host:
 * limits, rests (Retry-After), brittleness and their leaving. Not thread-safe: confined to one
 * event loop.
 */
final class UpstreamAnnouncements {

    private static final Logger logger = LogManager.getLogger(UpstreamAnnouncements.class);

    private final UpstreamLimitClient limits;
    private final UpstreamSlotClient slots;
    private final Dispatcher dispatcher;
    private final ControlNotifier notices;
    private final Set<UpstreamId> leaving = new HashSet<>();
    private final Set<UpstreamId> unreadable = new HashSet<>();
    private Consumer<UpstreamId> leavingListener = id -> {};

    UpstreamAnnouncements(
            UpstreamLimitClient limits,
            UpstreamSlotClient slots,
            Dispatcher dispatcher,
            ControlNotifier notices) {
        this.limits = limits;
        this.slots = slots;
        this.dispatcher = dispatcher;
        this.notices = notices;
    }

    /** Sets the listener that is called when an instance first announces that it is leaving. */
    void setLeavingListener(Consumer<UpstreamId> listener) {
        leavingListener = listener;
    }

    /**
     * Handles the head of an answer.
     *
     * @param basis the revision of the upstream's limit when the request was sent
     */
    void receive(UpstreamId id, HttpResponse head, LimitRevision basis) {
        limits.readLimit(id, head, basis);
        slots.receive(id, head);
        AnswerHeaders.rest(head.status().code(), head.headers()::get, Instant.now())
                .peek(rest -> rest.ifPresent(time -> recordRest(id, time)))
                .peekLeft(finding -> logUnreadable(id, finding));
        if (AnswerHeaders.leaving(head.headers()::get) && leaving.add(id)) {
            logger.info("upstream.leaving-heard id={}", id);
            leavingListener.accept(id);
            notices.notifyLeaving(id);
        }
    }

    /**
     * Returns notices of all leaving instances, for a control host that may have no other source.
     */
    List<Frame> leavingFrames() {
        return leaving.stream().map(notices::leavingFrame).toList();
    }

    /** Removes the state of an instance that is gone. */
    void forget(UpstreamId id) {
        limits.forget(id);
        leaving.remove(id);
        unreadable.remove(id);
    }

    private void recordRest(UpstreamId id, Duration time) {
        logger.info("upstream.rest-heard id={} restMs={}", id, time.toMillis());
        dispatcher.recordRest(id, time, BootClock.nanos());
    }

    private void logUnreadable(UpstreamId id, Finding finding) {
        if (unreadable.add(id)) {
            logger.warn("upstream.rest-unreadable id={} {}", id, finding);
        }
    }
}
