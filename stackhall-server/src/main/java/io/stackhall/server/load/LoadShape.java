package io.stackhall.server.load;

import java.util.Arrays;
import java.util.Optional;

/** The sizes of a user's system, from which a deployment and its traffic are drawn. */
public enum LoadShape {
    /** Seismograph feeds: immediate lookups beside deferred summaries. */
    SAHEL("sahel", 8, 3, 26, 64, 1.4, 15, 0.6),
    /** Glacier stake readings: summaries and annotated sheets. */
    CORDILLERA("cordillera", 13, 3, 39, 95, 2.0, 17, 0.3);

    private final String text;
    private final int runners;
    private final int services;
    private final int models;
    private final int adapters;
    private final double loadsPerSecond;
    private final int parallelLoads;
    private final double serviceShare;

    LoadShape(
            String text,
            int runners,
            int services,
            int models,
            int adapters,
            double loadsPerSecond,
            int parallelLoads,
            double serviceShare) {
        this.text = text;
        this.runners = runners;
        this.services = services;
        this.models = models;
        this.adapters = adapters;
        this.loadsPerSecond = loadsPerSecond;
        this.parallelLoads = parallelLoads;
        this.serviceShare = serviceShare;
    }

    /** Returns the shape of a name, if there is one. */
    public static Optional<LoadShape> of(String name) {
        return Arrays.stream(values()).filter(shape -> shape.text.equals(name)).findFirst();
    }

    /** Returns the name as users write it. */
    public String text() {
        return text;
    }

    /** Returns how many model engines there are. */
    public int runners() {
        return runners;
    }

    /** Returns how many processes of plain services there are. */
    public int services() {
        return services;
    }

    /** Returns how many models are deployed. */
    public int models() {
        return models;
    }

    /** Returns how many adapters are deployed. */
    public int adapters() {
        return adapters;
    }

    /** Returns how many loads the weight store starts in a second. */
    public double loadsPerSecond() {
        return loadsPerSecond;
    }

    /** Returns how many loads the weight store serves at once. */
    public int parallelLoads() {
        return parallelLoads;
    }

    /** Returns the share of requests that go to plain services. */
    public double serviceShare() {
        return serviceShare;
    }
}
