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
 * Tracks a leader's delivery of each order in the ledger: sent, answered, unanswered, settled.
 *
 * <p>An open order is settled by a report from after its answer or by a restart of the upstream. An
 * order that is never answered is settled by a report that shows its effect, or by any report after
 * the lifetime of its last copy has passed.
 */
final class OrderTracker {

    private static final int MAX_SENDS = 6;

    private final PlacementSettings settings;
    private final Map<Long, Delivery> deliveries = new HashMap<>();
    private final Map<Long, Long> echoSeenAt = new HashMap<>();

    OrderTracker(PlacementSettings settings) {
        this.settings = settings;
    }

    /** The delivery state of one order as known to this leader. */
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

    /**
     * Updates the tracked orders from the ledger: new orders become due to be sent, and orders
     * inherited from an earlier leader due to be sent again.
     */
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

    /** Returns whether the order is due to be sent, and if so records it as sent. */
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

    /**
     * Returns whether no copy of the order can have been sent, by this leader or an earlier one.
     */
    boolean neverSent(Order order) {
        Delivery delivery = deliveries.get(order.number());
        return !delivery.inherited && delivery.sends == 0;
    }

    /**
     * Returns the command that closes the order, if the latest report of its upstream settles it.
     */
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

    /**
     * Returns the command that closes the order. It keeps an echo unless the upstream refuses old
     * fencing numbers, which makes late copies harmless.
     */
    private static OrderCommand.Close newClose(Order order, Announcement report) {
        return new OrderCommand.Close(order.number(), !report.fencing().checked());
    }

    /** Returns whether a report shows the state that an unanswered order requests. */
    private static boolean showsEffect(Announcement report, Order order) {
        boolean resident =
                report.memory().resident().stream()
                        .anyMatch(item -> item.artifact().equals(order.artifact()));
        boolean wanted = order.kind() == Order.Kind.LOAD;
        return report.incarnation() == order.incarnation() && resident == wanted;
    }

    /** Returns the commands that remove echoes which can no longer arrive or would be refused. */
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
