package io.stackhall.server.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.stackhall.server.log.CountingDiscard;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.Set;

/** The metrics of a process that finds the others by seeds. Labels are bounded. */
public final class FleetMetrics {

    /** More routes or customers than this share one label: there may be hundreds of either. */
    private static final int MOST_LABELS = 100;

    private static final double NANOS_PER_SECOND = 1e9;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Set<String> routes = new HashSet<>();
    private final Set<String> customers = new HashSet<>();
    private final Counter requests =
            Counter.builder()
                    .name("stackhall_relayed_requests_total")
                    .help("Callers' requests by route and how they ended.")
                    .labelNames("route", "outcome")
                    .register(registry);
    private final Counter deniedRequests =
            Counter.builder()
                    .name("stackhall_denied_requests_total")
                    .help("Requests that this host denied for good, by status and reason.")
                    .labelNames("status", "reason")
                    .register(registry);
    private final Counter attempts =
            Counter.builder()
                    .name("stackhall_upstream_attempts_total")
                    .help("Requests sent to upstreams, by service and how they ended.")
                    .labelNames("service", "ending")
                    .register(registry);
    private final Counter answers =
            Counter.builder()
                    .name("stackhall_upstream_answers_total")
                    .help("Whole answers of upstreams, by what their end was recognized by.")
                    .labelNames("framing")
                    .register(registry);
    private final Counter answersPassedOver =
            Counter.builder()
                    .name("stackhall_answers_passed_over_total")
                    .help("Answers that came in place of another one, to an earlier request.")
                    .register(registry);
    private final Counter customerRequests =
            Counter.builder()
                    .name("stackhall_customer_requests_total")
                    .help("Customers' requests by how they ended.")
                    .labelNames("customer", "outcome")
                    .register(registry);
    private final Counter limitedRequests =
            Counter.builder()
                    .name("stackhall_limited_requests_total")
                    .help("Requests at upstreams that have named a limit, by what became of them.")
                    .labelNames("outcome")
                    .register(registry);
    private final Counter condemnedRequests =
            Counter.builder()
                    .name("stackhall_condemned_requests_total")
                    .help("Requests refused since they crash instances, by what of them does.")
                    .labelNames("cause")
                    .register(registry);
    private final Counter restedRequests =
            Counter.builder()
                    .name("stackhall_rested_requests_total")
                    .help("Requests for upstreams that want rest, by what became of them.")
                    .labelNames("outcome")
                    .register(registry);
    private final Counter takenUpStreams =
            Counter.builder()
                    .name("stackhall_streams_taken_up_total")
                    .help("Streams that callers take up, by what is known of their origin.")
                    .labelNames("outcome")
                    .register(registry);
    private final Counter pathFailures =
            Counter.builder()
                    .name("stackhall_upstream_path_failures_total")
                    .help("Connections to upstreams that failed before an answer, by how far.")
                    .labelNames("stage")
                    .register(registry);
    private final Counter shedRequests =
            Counter.builder()
                    .name("stackhall_requests_shed_total")
                    .help("Requests refused on arrival by an overloaded host, by rank.")
                    .labelNames("rank")
                    .register(registry);
    private final Counter shedConnections =
            Counter.builder()
                    .name("stackhall_connections_shed_total")
                    .help("Connections that an overloaded host closed unread.")
                    .register(registry);
    private final Histogram seconds =
            Histogram.builder()
                    .name("stackhall_relay_seconds")
                    .help("From a request's arrival: to its send, first byte and end of answer.")
                    .labelNames("until")
                    .classicOnly()
                    .register(registry);
    private final Histogram loopDelays =
            Histogram.builder()
                    .name("stackhall_loop_delay_seconds")
                    .help("How late the event loop ran a periodic task, where it was late at all.")
                    .classicOnly()
                    .register(registry);
    private final Gauge values =
            Gauge.builder()
                    .name("stackhall_fleet_state")
                    .help("Version of the routes, instances, waiting requests, terms, by name.")
                    .labelNames("name")
                    .register(registry);

    /** Notes how a request ended. */
    public void requestEnded(String route, String outcome) {
        requests.labelValues(bounded(routes, route), outcome).inc();
    }

    /** Counts a request that this host has denied for good, with a status of its own. */
    public void requestDenied(int status, String reason) {
        deniedRequests.labelValues(Integer.toString(status), reason).inc();
    }

    /** Notes how a customer's request ended; one without a customer is not noted. */
    public void customerRequest(String customer, String outcome) {
        if (!customer.isEmpty()) {
            customerRequests.labelValues(bounded(customers, customer), outcome).inc();
        }
    }

    /** Notes how a request to an upstream ended. */
    public void attemptEnded(String service, String ending) {
        attempts.labelValues(service, ending).inc();
    }

    /** Notes that an upstream has answered whole. */
    public void answerEnded(String framing) {
        answers.labelValues(framing).inc();
    }

    /** Notes an answer to another request, which came in place of the one that was due. */
    public void answerPassedOver() {
        answersPassedOver.inc();
    }

    /** Notes what became of a request for which an upstream with a limit came into question. */
    public void limitedRequest(String outcome) {
        limitedRequests.labelValues(outcome).inc();
    }

    /**
     * Counts a request that is refused because it, or a part of its prompt, crashes instances.
     *
     * @param cause "request" or "part"
     */
    public void condemnedRequest(String cause) {
        condemnedRequests.labelValues(cause).inc();
    }

    /** Notes what became of a request for which an upstream that wants rest came into question. */
    public void restedRequest(String outcome) {
        restedRequests.labelValues(outcome).inc();
    }

    /** Notes whether a stream that its caller takes up goes on, and why. */
    public void streamTakenUp(String outcome) {
        takenUpStreams.labelValues(outcome).inc();
    }

    /** Notes that a connection to an upstream has failed before an answer began. */
    public void pathFailed(String stage) {
        pathFailures.labelValues(stage).inc();
    }

    /** Notes how long after a request's arrival it was sent, first answered or wholly answered. */
    public void reached(String until, long nanos) {
        seconds.labelValues(until).observe(nanos / NANOS_PER_SECOND);
    }

    /** Notes a request that was refused on arrival since this host is overloaded. */
    public void requestShed(int rank) {
        shedRequests.labelValues(Integer.toString(rank)).inc();
    }

    /** Notes a connection that was closed unread since this host is overloaded. */
    public void connectionShed() {
        shedConnections.inc();
    }

    /** Notes how late the event loop ran a periodic task. */
    public void loopDelayed(double late) {
        loopDelays.observe(late);
    }

    /** Sets a value of the process's state. */
    public void state(String name, double value) {
        values.labelValues(name).set(value);
    }

    /** Returns everything in the text format. */
    public byte[] scrape() {
        state("log_lines_dropped", (double) CountingDiscard.dropped());
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("memory cannot fail to be written", e);
        }
        return out.toByteArray();
    }

    private static String bounded(Set<String> labels, String name) {
        if (labels.size() < MOST_LABELS) {
            labels.add(name);
        }
        return labels.contains(name) ? name : "other";
    }
}
