package io.stackhall.tests.harness;

import io.stackhall.rpc.generated.operators.Adapter;
import io.stackhall.rpc.generated.operators.Deployment;
import io.stackhall.rpc.generated.operators.Model;
import io.stackhall.rpc.generated.operators.Policy;
import io.stackhall.rpc.generated.operators.Service;
import io.stackhall.rpc.generated.operators.WeightStore;

/** Deployments that several tests use. */
public final class Deployments {

    private Deployments() {}

    /** Returns two models, an adapter and a plain service. */
    public static Deployment small() {
        return with("expected-gain")
                .addModels(model("resumen", "1", 6000))
                .addModels(model("picker", "1", 4000).toBuilder().setNotRepeatable(true))
                .addAdapters(
                        Adapter.newBuilder()
                                .setId("resumen-dakar")
                                .setBase("resumen")
                                .setMemoryMib(200))
                .addServices(Service.newBuilder().setName("station-status"))
                .build();
    }

    /** Returns a deployment that only names a policy, with a fast weight store. */
    public static Deployment.Builder with(String policy) {
        return Deployment.newBuilder()
                .setPolicy(Policy.newBuilder().setActive(policy))
                .setWeightStore(
                        WeightStore.newBuilder().setLoadsPerSecond(100).setParallelLoads(60));
    }

    /** Returns a model with one copy in each zone. */
    public static Model model(String id, String version, long memoryMib) {
        return Model.newBuilder()
                .setId(id)
                .setVersion(version)
                .setMemoryMib(memoryMib)
                .setFloor(1)
                .build();
    }
}
