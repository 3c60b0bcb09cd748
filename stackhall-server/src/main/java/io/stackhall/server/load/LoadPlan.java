package io.stackhall.server.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Draws when which request is sent: Poisson arrivals whose rate follows a short day, a skewed
 * choice of models, and bursts in which one model's share rises tenfold.
 */
final class LoadPlan {

    private static final double DAY_SECONDS = 60;
    private static final double DAY_AMPLITUDE = 0.5;
    private static final double BURST_SECONDS = 8;
    private static final double BURST_FACTOR = 10;
    private static final double ADAPTER_SHARE = 0.5;
    private static final double SKEW = 0.9;

    private LoadPlan() {}

    /**
     * One request to send.
     *
     * @param atSeconds when, from the start
     * @param target the model or adapter, or empty for the plain service
     */
    record Item(double atSeconds, String target) {}

    static List<Item> draw(LoadShape shape, double rate, double seconds, long seed) {
        Random random = new Random(seed);
        List<Item> plan = new ArrayList<>();
        double now = 0;
        while (now < seconds) {
            double day = 1 + DAY_AMPLITUDE * Math.sin(2 * Math.PI * now / DAY_SECONDS);
            now += -Math.log(1 - random.nextDouble()) / (rate * day);
            boolean service = random.nextDouble() < shape.serviceShare();
            plan.add(new Item(now, service ? "" : target(shape, now, random)));
        }
        return plan;
    }

    private static String target(LoadShape shape, double now, Random random) {
        int burst = (int) (now / BURST_SECONDS);
        int hot = Math.floorMod(burst * 7919, shape.models());
        double[] weights = new double[shape.models()];
        double sum = 0;
        for (int at = 0; at < weights.length; at++) {
            weights[at] = Math.pow(at + 1, -SKEW) * (at == hot ? BURST_FACTOR : 1);
            sum += weights[at];
        }
        double drawn = random.nextDouble() * sum;
        int model = 0;
        while (model < weights.length - 1 && drawn >= weights[model]) {
            drawn -= weights[model];
            model++;
        }
        boolean adapter = random.nextDouble() < ADAPTER_SHARE && model < shape.adapters();
        return adapter ? LoadDeployment.adapter(model) : LoadDeployment.model(model);
    }
}
