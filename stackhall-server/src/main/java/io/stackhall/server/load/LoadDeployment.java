package io.stackhall.server.load;

import io.stackhall.rpc.generated.operators.Adapter;
import io.stackhall.rpc.generated.operators.Deployment;
import io.stackhall.rpc.generated.operators.Model;
import io.stackhall.rpc.generated.operators.Policy;
import io.stackhall.rpc.generated.operators.Service;
import io.stackhall.rpc.generated.operators.WeightStore;
import java.util.Random;

/** Draws the deployment of a shape; the same seed gives the same one. */
public final class LoadDeployment {

    /** The plain service of every shape. */
    public static final String SERVICE = "lookup";

    private static final int LEAST_MIB = 5000;
    private static final int SPREAD_MIB = 5000;
    private static final int ADAPTER_MIB = 100;

    private LoadDeployment() {}

    /** Returns the deployment of a shape under a policy. */
    public static Deployment of(LoadShape shape, String policy, long seed) {
        Random random = new Random(seed);
        Deployment.Builder deployment =
                Deployment.newBuilder()
                        .setPolicy(Policy.newBuilder().setActive(policy))
                        .setWeightStore(
                                WeightStore.newBuilder()
                                        .setLoadsPerSecond(shape.loadsPerSecond())
                                        .setParallelLoads(shape.parallelLoads()))
                        .addServices(Service.newBuilder().setName(SERVICE));
        for (int at = 0; at < shape.models(); at++) {
            deployment.addModels(
                    Model.newBuilder()
                            .setId(model(at))
                            .setVersion("1")
                            .setFloor(1)
                            .setMemoryMib(LEAST_MIB + random.nextInt(SPREAD_MIB)));
        }
        for (int at = 0; at < shape.adapters(); at++) {
            deployment.addAdapters(
                    Adapter.newBuilder()
                            .setId(adapter(at))
                            .setBase(model(at % shape.models()))
                            .setMemoryMib(ADAPTER_MIB));
        }
        return deployment.build();
    }

    static String model(int at) {
        return "model-" + at;
    }

    static String adapter(int at) {
        return "adapter-" + at;
    }
}
