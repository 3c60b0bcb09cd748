package io.stackhall.server.operators;

import io.stackhall.core.config.AdapterSpec;
import io.stackhall.core.config.CallerSpec;
import io.stackhall.core.config.Finding;
import io.stackhall.core.config.ModelSpec;
import io.stackhall.core.config.PolicyName;
import io.stackhall.core.config.PolicySpec;
import io.stackhall.core.config.Priority;
import io.stackhall.core.config.ServiceSpec;
import io.stackhall.core.config.WeightStoreSpec;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.rpc.generated.operators.Adapter;
import io.stackhall.rpc.generated.operators.Caller;
import io.stackhall.rpc.generated.operators.Deployment;
import io.stackhall.rpc.generated.operators.Model;
import io.stackhall.rpc.generated.operators.Policy;
import io.stackhall.rpc.generated.operators.Service;
import io.stackhall.rpc.generated.operators.WeightStore;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** Turns the schema's deployment into the core's and back. */
final class DeploymentMapper {

    private final List<Finding> findings = new ArrayList<>();

    private DeploymentMapper() {}

    /** Returns the core's deployment, or every value that is none, each with its place. */
    static Either<List<Finding>, io.stackhall.core.config.Deployment> toCore(Deployment from) {
        DeploymentMapper mapper = new DeploymentMapper();
        List<ModelSpec> models =
                mapper.each("/models", from.getModelsList(), DeploymentMapper::model);
        List<AdapterSpec> adapters =
                mapper.each("/adapters", from.getAdaptersList(), DeploymentMapper::adapter);
        List<ServiceSpec> services =
                mapper.each("/services", from.getServicesList(), DeploymentMapper::service);
        List<CallerSpec> callers =
                mapper.each("/callers", from.getCallersList(), DeploymentMapper::caller);
        List<PolicySpec> policy =
                mapper.each("/policy", List.of(from.getPolicy()), DeploymentMapper::policy);
        WeightStoreSpec store =
                new WeightStoreSpec(
                        from.getWeightStore().getLoadsPerSecond(),
                        from.getWeightStore().getParallelLoads());
        if (!mapper.findings.isEmpty()) {
            return Either.left(List.copyOf(mapper.findings));
        }
        return Either.right(
                new io.stackhall.core.config.Deployment(
                        models, adapters, services, callers, policy.getFirst(), store));
    }

    /** Returns the schema's deployment. */
    static Deployment fromCore(io.stackhall.core.config.Deployment from) {
        Deployment.Builder to = Deployment.newBuilder();
        for (ModelSpec model : from.models()) {
            to.addModels(
                    Model.newBuilder()
                            .setId(model.id().value())
                            .setVersion(model.version())
                            .setMemoryMib(model.memoryMib())
                            .setFloor(model.floor())
                            .setNotRepeatable(!model.repeatable()));
        }
        for (AdapterSpec adapter : from.adapters()) {
            to.addAdapters(
                    Adapter.newBuilder()
                            .setId(adapter.id().value())
                            .setBase(adapter.base().value())
                            .setMemoryMib(adapter.memoryMib()));
        }
        for (ServiceSpec service : from.services()) {
            to.addServices(
                    Service.newBuilder()
                            .setName(service.name().value())
                            .setNotRepeatable(!service.repeatable()));
        }
        for (CallerSpec caller : from.callers()) {
            to.addCallers(
                    Caller.newBuilder()
                            .setId(caller.id().value())
                            .setKeyHash(caller.keyHash())
                            .setPriority(caller.priority().name()));
        }
        Policy.Builder policy = Policy.newBuilder().setActive(from.policy().active().text());
        from.policy().compared().ifPresent(name -> policy.setCompared(name.text()));
        return to.setPolicy(policy)
                .setWeightStore(
                        WeightStore.newBuilder()
                                .setLoadsPerSecond(from.weightStore().loadsPerSecond())
                                .setParallelLoads(from.weightStore().parallelLoads()))
                .build();
    }

    private <F, T> List<T> each(String place, List<F> from, Function<F, T> map) {
        List<T> mapped = new ArrayList<>();
        for (int at = 0; at < from.size(); at++) {
            try {
                mapped.add(map.apply(from.get(at)));
            } catch (IllegalArgumentException e) {
                findings.add(new Finding(place + "/" + at, e.getMessage()));
            }
        }
        return mapped;
    }

    private static ModelSpec model(Model from) {
        return new ModelSpec(
                new ModelId(from.getId()),
                from.getVersion(),
                from.getMemoryMib(),
                from.getFloor(),
                !from.getNotRepeatable());
    }

    private static AdapterSpec adapter(Adapter from) {
        return new AdapterSpec(
                new ModelId(from.getId()), new ModelId(from.getBase()), from.getMemoryMib());
    }

    private static ServiceSpec service(Service from) {
        return new ServiceSpec(new ServiceName(from.getName()), !from.getNotRepeatable());
    }

    private static CallerSpec caller(Caller from) {
        String priority = from.getPriority().isEmpty() ? "NORMAL" : from.getPriority();
        return new CallerSpec(
                new CustomerId(from.getId()), from.getKeyHash(), Priority.valueOf(priority));
    }

    private static PolicySpec policy(Policy from) {
        PolicyName active =
                from.getActive().isEmpty()
                        ? PolicyName.EXPECTED_GAIN
                        : policyName(from.getActive());
        Optional<PolicyName> compared =
                from.getCompared().isEmpty()
                        ? Optional.empty()
                        : Optional.of(policyName(from.getCompared()));
        return new PolicySpec(active, compared);
    }

    private static PolicyName policyName(String text) {
        return PolicyName.of(text)
                .orElseThrow(
                        () -> new IllegalArgumentException("no policy is named '" + text + "'"));
    }
}
