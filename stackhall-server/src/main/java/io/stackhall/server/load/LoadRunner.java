package io.stackhall.server.load;

import io.stackhall.server.clock.BootClock;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;

/** Sends a plan's requests when they are due, whatever became of earlier ones. */
public final class LoadRunner {

    private static final long LONGEST_MILLIS = 120_000;
    private static final int DIGITS = 3;
    private static final String SERVICE = "service";
    private static final String MODEL = "model";
    private static final int FIRST_REFUSAL = 400;

    private final HttpClient client;
    private final List<String> urls;
    private final Map<String, Tally> tallies = new LinkedHashMap<>();

    /**
     * Creates a runner.
     *
     * @param client a started client
     * @param urls base addresses of entry hosts, used in turn
     */
    public LoadRunner(HttpClient client, List<String> urls) {
        this.client = client;
        this.urls = List.copyOf(urls);
        tallies.put(SERVICE, new Tally());
        tallies.put(MODEL, new Tally());
    }

    /**
     * What to send.
     *
     * @param shape whose traffic
     * @param rate mean requests a second
     * @param seconds how long
     * @param seed the same seed gives the same requests at the same times
     * @param serviceDeadlineMillis the deadline of calls of the plain service, which are urgent
     * @param modelDeadlineMillis the deadline of requests to models
     * @param accelerators how many accelerators serve
     */
    public record Options(
            LoadShape shape,
            double rate,
            double seconds,
            long seed,
            long serviceDeadlineMillis,
            long modelDeadlineMillis,
            int accelerators) {}

    /** Counts of one kind of request. */
    private static final class Tally {
        private final Histogram millis = new Histogram(LONGEST_MILLIS, DIGITS);
        private long offered;
        private long attained;
        private long refused;
        private long failed;

        private synchronized void end(int status, long tookMillis, long deadlineMillis) {
            offered++;
            if (status == 0) {
                failed++;
            } else if (status >= FIRST_REFUSAL) {
                refused++;
            } else {
                millis.recordValue(Math.min(LONGEST_MILLIS, tookMillis));
                attained += tookMillis <= deadlineMillis ? 1 : 0;
            }
        }

        private synchronized LoadResult.Kind kind() {
            return new LoadResult.Kind(
                    offered,
                    attained,
                    refused,
                    failed,
                    millis.getValueAtPercentile(50),
                    millis.getValueAtPercentile(99),
                    millis.getValueAtPercentile(99.9));
        }
    }

    /**
     * Runs a plan to its end.
     *
     * @param progress is told how many requests were sent, about once a second
     */
    public LoadResult run(Options options, LongConsumer progress) throws InterruptedException {
        List<LoadPlan.Item> plan =
                LoadPlan.draw(options.shape(), options.rate(), options.seconds(), options.seed());
        CountDownLatch open = new CountDownLatch(plan.size());
        long start = BootClock.nanos();
        long nextProgress = start;
        for (int at = 0; at < plan.size(); at++) {
            LoadPlan.Item item = plan.get(at);
            long due = start + (long) (item.atSeconds() * 1e9);
            sleepUntil(due);
            send(item, urls.get(at % urls.size()), due, options, open);
            if (BootClock.nanos() - nextProgress >= 0) {
                nextProgress += TimeUnit.SECONDS.toNanos(1);
                progress.accept(at);
            }
        }
        open.await(LONGEST_MILLIS, TimeUnit.MILLISECONDS);
        return result(options);
    }

    private void send(
            LoadPlan.Item item, String url, long due, Options options, CountDownLatch open) {
        boolean service = item.target().isEmpty();
        Tally tally = tallies.get(service ? SERVICE : MODEL);
        long deadline = service ? options.serviceDeadlineMillis() : options.modelDeadlineMillis();
        Request request =
                service
                        ? client.newRequest(url + "/services/" + LoadDeployment.SERVICE + "/x")
                        : client.POST(url + "/v1/chat/completions")
                                .body(
                                        new StringRequestContent(
                                                "application/json",
                                                "{\"model\":\"" + item.target() + "\"}"));
        request.headers(
                headers -> {
                    headers.put("Stackhall-Deadline-Ms", Long.toString(deadline));
                    headers.put("Stackhall-Priority", service ? "urgent" : "normal");
                });
        request.timeout(LONGEST_MILLIS, TimeUnit.MILLISECONDS)
                .send(
                        new BufferingResponseListener() {
                            @Override
                            public void onComplete(Result result) {
                                int status =
                                        result.isSucceeded() ? result.getResponse().getStatus() : 0;
                                long took = (BootClock.nanos() - due) / 1_000_000;
                                tally.end(status, took, deadline);
                                open.countDown();
                            }
                        });
    }

    private LoadResult result(Options options) {
        Map<String, LoadResult.Kind> kinds = new LinkedHashMap<>();
        tallies.forEach((name, tally) -> kinds.put(name, tally.kind()));
        long offered = kinds.values().stream().mapToLong(LoadResult.Kind::offered).sum();
        long attained = kinds.values().stream().mapToLong(LoadResult.Kind::attained).sum();
        return new LoadResult(
                options.shape().text(),
                options.seconds(),
                offered,
                attained,
                options.accelerators(),
                (double) attained / Math.max(1, offered) / options.accelerators(),
                kinds);
    }

    private static void sleepUntil(long due) throws InterruptedException {
        long left = due - BootClock.nanos();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }
}
