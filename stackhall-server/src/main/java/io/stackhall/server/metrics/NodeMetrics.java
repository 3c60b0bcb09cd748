package io.stackhall.server.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.core.metrics.Info;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.stackhall.core.config.PolicyName;
import io.stackhall.core.config.Priority;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;

/** The metrics of one process. Names and units follow the rules of Prometheus. */
public final class NodeMetrics {

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests =
            Counter.builder()
                    .name("stackhall_requests_total")
                    .help("Requests of callers by priority, HTTP status and outcome.")
                    .labelNames("priority", "status", "outcome")
                    .register(registry);
    private final Counter attained =
            Counter.builder()
                    .name("stackhall_requests_attained_total")
                    .help("Requests answered whole within their deadline.")
                    .labelNames("priority")
                    .register(registry);
    private final Counter byPolicy =
            Counter.builder()
                    .name("stackhall_policy_requests_total")
                    .help("Requests of callers by the placement policy in force at their end.")
                    .labelNames("policy")
                    .register(registry);
    private final Counter attainedByPolicy =
            Counter.builder()
                    .name("stackhall_policy_requests_attained_total")
                    .help("Requests answered whole within their deadline, by placement policy.")
                    .labelNames("policy")
                    .register(registry);
    private final Histogram seconds =
            Histogram.builder()
                    .name("stackhall_request_duration_seconds")
                    .help("From the reception of a request to the end of its answer.")
                    .labelNames("priority")
                    .classicOnly()
                    .register(registry);
    private final Gauge values =
            Gauge.builder()
                    .name("stackhall_state")
                    .help("State of queues, configuration, groups and placement, by name.")
                    .labelNames("name", "group")
                    .register(registry);

    /** Creates the metrics of a process of a version. */
    public NodeMetrics(String version) {
        JvmMetrics.builder().register(registry);
        Info build =
                Info.builder()
                        .name("stackhall_build_info")
                        .help("The version that runs.")
                        .labelNames("version")
                        .register(registry);
        build.setLabelValues(version);
    }

    /** Notes the end of a request. */
    public void requestEnded(
            Priority priority, int status, String outcome, boolean inTime, long nanos) {
        String label = priority.name().toLowerCase(Locale.ROOT);
        requests.labelValues(label, Integer.toString(status), outcome).inc();
        seconds.labelValues(label).observe(nanos / 1e9);
        if (inTime) {
            attained.labelValues(label).inc();
        }
    }

    /** Notes under which policy a request ended. */
    public void endedUnder(PolicyName policy, boolean inTime) {
        byPolicy.labelValues(policy.text()).inc();
        if (inTime) {
            attainedByPolicy.labelValues(policy.text()).inc();
        }
    }

    /** Returns how many requests ended while a policy was in force. */
    public long offeredUnder(PolicyName policy) {
        return byPolicy.labelValues(policy.text()).getLongValue();
    }

    /** Returns how many of them were answered whole within their deadline. */
    public long attainedUnder(PolicyName policy) {
        return attainedByPolicy.labelValues(policy.text()).getLongValue();
    }

    /** Sets a value of the process's state. */
    public void state(String name, String group, long value) {
        values.labelValues(name, group).set((double) value);
    }

    /** Returns everything in the text format. */
    public byte[] scrape() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
