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
    private final Map<Long, Delivery> deliveries = new HashMap<>();
    private final Map<Long, Long> echoSeenAt = new HashMap<>();

    OrderTracker(PlacementSettings settings) {
        this.settings = settings;
    }

    /** What became of one order as far as this leader knows. */
    private static final class Delivery {
        private final boolean inherited;
        private boolean inFlight;
        private int sends;
        private long lastSend;
        private long nextSend;
        private Optional<PlacementEvent.Answered> answer = Optional.empty();

        Delivery(boolean inherited, long now) {
            this.inherited = inherited;
            this.nextSend = now;
        }
    }

    void clear() {
        deliveries.clear();
        echoSeenAt.clear();
    }

    /** Follows the ledger: new orders are to be sent, orders of an earlier leader sent again. */
    void update(OrderLedger.State orders, boolean inherited, long now) {
        Set<Long> open = new HashSet<>();
        for (Order order : orders.open()) {
            open.add(order.number());
            deliveries.computeIfAbsent(order.number(), key -> new Delivery(inherited, now));
        }
        deliveries.keySet().retainAll(open);
        Set<Long> echoes = new HashSet<>();
        for (Order order : orders.echoes()) {
            echoes.add(order.number());
            echoSeenAt.putIfAbsent(order.number(), now);
        }
        echoSeenAt.keySet().retainAll(echoes);
    }

    void recordAnswer(PlacementEvent.Answered answer) {
        Delivery delivery = deliveries.get(answer.number());
        if (delivery != null) {
            delivery.inFlight = false;
            delivery.answer = Optional.of(answer);
        }
    }

    void recordNoAnswer(long number, boolean sent, long now) {
        Delivery delivery = deliveries.get(number);
        if (delivery != null) {
            delivery.inFlight = false;
            delivery.nextSend = now + settings.resendAfter().toNanos();
            if (!sent) {
                delivery.sends--;
            }
        }
    }

    /** Returns whether the order should be sent now, and notes that it is. */
    boolean startSend(Order order, long now) {
        Delivery delivery = deliveries.get(order.number());
        boolean due =
                !delivery.inFlight
                        && delivery.answer.isEmpty()
                        && delivery.sends < MAX_SENDS
                        && now - delivery.nextSend >= 0;
        if (due) {
            delivery.inFlight = true;
            delivery.sends++;
            delivery.lastSend = now;
        }
        return due;
    }

    /** Returns whether no copy of the order has ever left, as far as the ledger shows. */
    boolean neverSent(Order order) {
        Delivery delivery = deliveries.get(order.number());
        return !delivery.inherited && delivery.sends == 0;
    }

    /** Returns the closing of an order that its upstream's latest report settles. */
    Optional<OrderCommand.Close> closeIfSettled(Order order, Announcement report, long now) {
        Delivery delivery = deliveries.get(order.number());
        if (report.incarnation() > order.incarnation()) {
            return Optional.of(
                    new OrderCommand.Close(
                            order.number(), delivery.sends > 0 || delivery.inherited));
        }
        if (delivery.answer.isPresent()) {
            PlacementEvent.Answered answer = delivery.answer.get();
            boolean after =
                    report.incarnation() == answer.incarnation()
                            && report.sequence() >= answer.sequence();
            return after ? Optional.of(newClose(order, report)) : Optional.empty();
        }
        if (showsEffect(report, order)) {
            return Optional.of(newClose(order, report));
        }
        boolean expired =
                delivery.sends >= MAX_SENDS
                        && !delivery.inFlight
                        && now - delivery.lastSend > settings.orderLifetime().toNanos();
        return expired
                ? Optional.of(new OrderCommand.Close(order.number(), false))
                : Optional.empty();
    }

    /** A late copy of an order can only do harm where old fencing numbers are not refused. */
    private static OrderCommand.Close newClose(Order order, Announcement report) {
        return new OrderCommand.Close(order.number(), !report.fencing().checked());
    }

    /** Returns whether a report shows the state that an unanswered order asks for. */
    private static boolean showsEffect(Announcement report, Order order) {
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
