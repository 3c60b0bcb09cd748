package io.stackhall.server.bench;

import io.stackhall.core.config.AdapterSpec;
import io.stackhall.core.config.Change;
import io.stackhall.core.config.Configuration;
import io.stackhall.core.config.Deployment;
import io.stackhall.core.config.ModelSpec;
import io.stackhall.core.config.PolicyName;
import io.stackhall.core.config.PolicySpec;
import io.stackhall.core.config.WeightStoreSpec;
import io.stackhall.core.id.AttemptToken;
import io.stackhall.core.id.ChangeId;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.IdempotencyKey;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.membership.Artifact;
import io.stackhall.core.membership.Resident;
import io.stackhall.core.outcome.ClaimCommand;
import io.stackhall.core.outcome.ClaimKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Deployments, announcements and claims of chosen sizes. */
final class Samples {

    private static final int MODELS = 240;

    private Samples() {}

    static Deployment deployment(int models, int adapters) {
        List<ModelSpec> modelSpecs = new ArrayList<>();
        for (int at = 0; at < models; at++) {
            modelSpecs.add(new ModelSpec(model(at), "2026-12-02", 24_000, 1, true));
        }
        List<AdapterSpec> adapterSpecs = new ArrayList<>();
        for (int at = 0; at < adapters; at++) {
            adapterSpecs.add(
                    new AdapterSpec(new ModelId("adapter-" + at), model(at % models), 200));
        }
        return new Deployment(
                modelSpecs,
                adapterSpecs,
                List.of(),
                List.of(),
                new PolicySpec(PolicyName.EXPECTED_GAIN, Optional.empty()),
                new WeightStoreSpec(2, 17));
    }

    static Configuration configuration(long revision, Deployment deployment) {
        return new Configuration(revision, deployment, Set.of());
    }

    static Change change(long number, Deployment deployment) {
        return new Change(
                new ChangeId("change-" + number),
                "operator",
                1_700_000_000_000L,
                new Change.ReplaceDeployment(deployment, number));
    }

    static Change drain(long number) {
        return new Change(
                new ChangeId("drain-" + number),
                "operator",
                1_700_000_000_000L,
                new Change.SetDrain(new UpstreamId("runner-" + number % 100), number % 2 == 0));
    }

    static Announcement announcement(int upstream, long sequence, int residents) {
        List<Resident> resident = new ArrayList<>();
        for (int at = 0; at < residents; at++) {
            ModelId model = model((upstream * 7 + at) % MODELS);
            resident.add(new Resident(new Artifact(model, "2026-12-02"), 24_000));
        }
        return new Announcement(
                new UpstreamId("runner-" + upstream),
                new ZoneId("zone-1"),
                "10.0.0.1:8000",
                1_700_000_000_000L,
                sequence,
                List.of(),
                new Announcement.Memory(4, 320_000, 64_000, resident),
                new Announcement.Load(64, 20, 0),
                new Announcement.Fencing(true, 12_345),
                false,
                List.of());
    }

    static ClaimCommand.Claim claim(int number) {
        return new ClaimCommand.Claim(
                key(number),
                new AttemptToken("host-1/0123456789abcdef/" + number),
                "0123456789abcdef0123456789abcdef");
    }

    static ClaimKey key(int number) {
        return new ClaimKey(
                new CustomerId("caller-" + number % 50),
                new IdempotencyKey("3f2a9c1e-0000-4000-8000-" + number));
    }

    static ModelId model(int at) {
        return new ModelId("model-" + at);
    }
}
