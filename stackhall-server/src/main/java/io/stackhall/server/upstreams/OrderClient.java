package io.stackhall.server.upstreams;

import io.stackhall.core.placement.Order;
import io.stackhall.core.placement.PlacementEvent;
import io.stackhall.server.json.Json;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Sends orders. Each goes on a new connection, which is closed afterwards: no answer of an earlier
 * request can come there, and no late byte of an order can follow on a connection that is used
 * again.
 */
public final class OrderClient {

    private static final Logger logger = LogManager.getLogger(OrderClient.class);

    private final HttpClient client;
    private final Duration patience;

    /**
     * Creates a client over a started HTTP client.
     *
     * @param patience how long an answer is awaited before the order is sent again
     */
    public OrderClient(HttpClient client, Duration patience) {
        this.client = client;
        this.patience = patience;
    }

    /**
     * Sends an order.
     *
     * @param allowed asked right before the first byte is written; where it says no, nothing is
     *     sent
     * @return what became of it, never exceptionally
     */
    public CompletableFuture<PlacementEvent> send(
            Order order, String address, BooleanSupplier allowed) {
        CompletableFuture<PlacementEvent> outcome = new CompletableFuture<>();
        AtomicBoolean begun = new AtomicBoolean();
        Request request =
                client.POST("http://" + address + "/orders")
                        .timeout(patience.toMillis(), TimeUnit.MILLISECONDS)
                        .tag(UpstreamCall.OWN_CONNECTION)
                        .headers(headers -> headers.put(HttpHeader.CONNECTION, "close"))
                        .body(
                                new BytesRequestContent(
                                        "application/json",
                                        Json.write(OrderMessage.class, OrderMessage.of(order))));
        request.onRequestBegin(
                started -> {
                    if (allowed.getAsBoolean()) {
                        begun.set(true);
                    } else {
                        started.abort(new IllegalStateException("the lease has ended"));
                    }
                });
        request.send(
                new BufferingResponseListener() {
                    @Override
                    public void onComplete(Result result) {
                        outcome.complete(
                                result.isSucceeded()
                                        ? read(order, result, getContent())
                                        : unanswered(order, begun.get(), result.getFailure()));
                    }
                });
        return outcome;
    }

    private static PlacementEvent read(Order order, Result result, byte[] content) {
        int status = result.getResponse().getStatus();
        try {
            OrderMessage.Answer answer = Json.read(OrderMessage.Answer.class, content);
            boolean fits = answer.number() == order.number();
            if (fits && (status == HttpStatus.OK_200 || status == HttpStatus.CONFLICT_409)) {
                return new PlacementEvent.Answered(
                        order.number(),
                        answer.incarnation(),
                        answer.sequence(),
                        answer.carriedOut());
            }
        } catch (RuntimeException e) {
            logger.warn("order.answer-unreadable number={} {}", order.number(), e.toString());
        }
        return new PlacementEvent.Unanswered(order.number(), true);
    }

    private static PlacementEvent unanswered(Order order, boolean begun, Throwable failure) {
        logger.warn(
                "order.unanswered number={} begun={} {}",
                order.number(),
                begun,
                failure.toString());
        return new PlacementEvent.Unanswered(order.number(), begun);
    }
}
