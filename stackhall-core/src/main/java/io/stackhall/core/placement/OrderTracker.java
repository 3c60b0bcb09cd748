package io.stackhall.core.placement;

import io.stackhall.core.membership.Announcement;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * How far a leader has come with each order of the ledger: sent, answered, unanswered, settled.
 *
 * <p>An open order is settled only by a report from after its answer, by a restart of the upstream,
 * or, where no answer comes at all, by a report from after the lifetime of the last copy.
 */
final class OrderTracker {

    private static final int MAX_SENDS = 6;

    private final PlacementSettings settings;
    private final Map<Long, Track> tracks = new HashMap<>();
    private final Map<Long, Long> echoSeenAt = new HashMap<>();

    OrderTracker(PlacementSettings settings) {
        this.settings = settings;
    }

    /** What became of one order as far as this leader knows. */
    private static final class Track {
        private final boolean inherited;
        private boolean inFlight;
        private int sends;
        private long lastSend;
        private long nextSend;
        private Optional<PlacementEvent.Answered> answer = Optional.empty();

        Track(boolean inherited, long now) {
            this.inherited = inherited;
            this.nextSend = now;
        }
    }

    void clear() {
        tracks.clear();
        echoSeenAt.clear();
    }

    /** Follows the ledger: new orders are to be sent, orders of an earlier leader sent again. */
    void update(OrderLedger.State orders, boolean inherited, long now) {
        Set<Long> open = new HashSet<>();
        for (Order order : orders.open()) {
            open.add(order.number());
            tracks.computeIfAbsent(order.number(), key -> new Track(inherited, now));
        }
        tracks.keySet().retainAll(open);
        Set<Long> echoes = new HashSet<>();
        for (Order order : orders.echoes()) {
            echoes.add(order.number());
            echoSeenAt.putIfAbsent(order.number(), now);
        }
        echoSeenAt.keySet().retainAll(echoes);
    }

    void recordAnswer(PlacementEvent.Answered answer) {
        Track track = tracks.get(answer.number());
        if (track != null) {
            track.inFlight = false;
            track.answer = Optional.of(answer);
        }
    }

    void recordNoAnswer(long number, boolean sent, long now) {
        Track track = tracks.get(number);
        if (track != null) {
            track.inFlight = false;
            track.nextSend = now + settings.resendAfter().toNanos();
            if (!sent) {
                track.sends--;
            }
        }
    }

    /** Returns whether the order should be sent now, and notes that it is. */
    boolean startSend(Order order, long now) {
        Track track = tracks.get(order.number());
        boolean due =
                !track.inFlight
                        && track.answer.isEmpty()
                        && track.sends < MAX_SENDS
                        && now - track.nextSend >= 0;
        if (due) {
            track.inFlight = true;
            track.sends++;
            track.lastSend = now;
        }
        return due;
    }

    /** Returns whether no copy of the order has ever left, as far as the ledger shows. */
    boolean neverSent(Order order) {
        Track track = tracks.get(order.number());
        return !track.inherited && track.sends == 0;
    }

    /** Returns the closing of an order that its upstream's latest report settles. */
    Optional<OrderCommand.Close> closeIfSettled(Order order, Announcement report, long now) {
        Track track = tracks.get(order.number());
        if (report.incarnation() > order.incarnation()) {
            return Optional.of(
                    new OrderCommand.Close(order.number(), track.sends > 0 || track.inherited));
        }
        if (track.answer.isPresent()) {
            PlacementEvent.Answered answer = track.answer.get();
            boolean after =
                    report.incarnation() == answer.incarnation()
                            && report.sequence() >= answer.sequence();
            return after ? Optional.of(closing(order, report)) : Optional.empty();
        }
        if (shows(report, order)) {
            return Optional.of(closing(order, report));
        }
        boolean lapsed =
                track.sends >= MAX_SENDS
                        && !track.inFlight
                        && now - track.lastSend > settings.orderLifetime().toNanos();
        return lapsed
                ? Optional.of(new OrderCommand.Close(order.number(), false))
                : Optional.empty();
    }

    /** A late copy of an order can only do harm where old fencing numbers are not refused. */
    private static OrderCommand.Close closing(Order order, Announcement report) {
        return new OrderCommand.Close(order.number(), !report.fencing().checked());
    }

    /** Returns whether a report shows the state that an unanswered order asks for. */
    private static boolean shows(Announcement report, Order order) {
        boolean resident =
                report.memory().resident().stream()
                        .anyMatch(item -> item.artifact().equals(order.artifact()));
        boolean wanted = order.kind() == Order.Kind.LOAD;
        return report.incarnation() == order.incarnation() && resident == wanted;
    }

    /** Returns the echoes that can no longer arrive, or would be refused. */
    List<OrderCommand.ForgetEcho> expiredEchoes(
            OrderLedger.State orders, Map<String, Announcement> reports, long now) {
        List<OrderCommand.ForgetEcho> found = new ArrayList<>();
        for (Order echo : orders.echoes()) {
            long age = now - echoSeenAt.getOrDefault(echo.number(), now);
            Announcement report = reports.get(echo.upstream().value());
            boolean refused =
                    report != null
                            && report.fencing().checked()
                            && report.fencing().highest() > echo.number();
            if (refused || age > settings.orderLifetime().toNanos()) {
                found.add(new OrderCommand.ForgetEcho(echo.number()));
            }
        }
        return found;
    }
}
