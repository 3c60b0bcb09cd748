package io.stackhall.core.config;

import io.stackhall.core.id.Id;
import io.stackhall.core.id.ModelId;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Validates a deployment and reports all errors at once. */
public final class DeploymentChecker {

    private static final int SHA_256_HEX_LENGTH = 64;
    private static final int MAX_MODELS = 10_000;

    private final List<Finding> findings = new ArrayList<>();

    private DeploymentChecker() {}

    /** Returns the deployment if it is valid, or else every error with its JSON pointer. */
    public static Either<List<Finding>, Deployment> check(Deployment deployment) {
        DeploymentChecker checker = new DeploymentChecker();
        checker.checkModels(deployment);
        checker.checkAdapters(deployment);
        checker.checkCallers(deployment);
        checker.checkUnique(
                "/services", deployment.services().stream().map(ServiceSpec::name).toList());
        checker.checkWeightStore(deployment.weightStore());
        return checker.findings.isEmpty()
                ? Either.right(deployment)
                : Either.left(List.copyOf(checker.findings));
    }

    private void checkModels(Deployment deployment) {
        List<Id> names = new ArrayList<>();
        deployment.models().forEach(model -> names.add(model.id()));
        deployment.adapters().forEach(adapter -> names.add(adapter.id()));
        checkUnique("/models", names);
        if (names.size() > MAX_MODELS) {
            addFinding("/models", names.size() + " models and adapters, at most " + MAX_MODELS);
        }
        for (int index = 0; index < deployment.models().size(); index++) {
            ModelSpec model = deployment.models().get(index);
            String place = "/models/" + index;
            checkPositive(place + "/memory_mib", model.memoryMib());
            if (model.floor() < 0) {
                addFinding(place + "/floor", model.floor() + " is negative");
            }
            if (model.version().isBlank()) {
                addFinding(place + "/version", "must not be blank");
            }
        }
    }

    private void checkAdapters(Deployment deployment) {
        Set<ModelId> bases =
                deployment.models().stream().map(ModelSpec::id).collect(Collectors.toSet());
        for (int index = 0; index < deployment.adapters().size(); index++) {
            AdapterSpec adapter = deployment.adapters().get(index);
            String place = "/adapters/" + index;
            checkPositive(place + "/memory_mib", adapter.memoryMib());
            if (!bases.contains(adapter.base())) {
                addFinding(place + "/base", "no model is named '" + adapter.base() + "'");
            }
        }
    }

    private void checkCallers(Deployment deployment) {
        checkUnique("/callers", deployment.callers().stream().map(CallerSpec::id).toList());
        for (int index = 0; index < deployment.callers().size(); index++) {
            String hash = deployment.callers().get(index).keyHash();
            boolean hex = hash.chars().allMatch(digit -> "0123456789abcdef".indexOf(digit) >= 0);
            if (hash.length() != SHA_256_HEX_LENGTH || !hex) {
                addFinding("/callers/" + index + "/key_hash", "is not 64 hexadecimal digits");
            }
        }
    }

    private void checkWeightStore(WeightStoreSpec store) {
        if (!(store.loadsPerSecond() > 0)) {
            addFinding(
                    "/weight_store/loads_per_second", store.loadsPerSecond() + " is not positive");
        }
        checkPositive("/weight_store/parallel_loads", store.parallelLoads());
    }

    private void checkUnique(String place, List<? extends Id> names) {
        Set<String> seen = new HashSet<>();
        for (Id name : names) {
            if (!seen.add(name.value())) {
                addFinding(place, "'" + name.value() + "' is named twice");
            }
        }
    }

    private void checkPositive(String place, long value) {
        if (value <= 0) {
            addFinding(place, value + " is not positive");
        }
    }

    private void addFinding(String place, String message) {
        findings.add(new Finding(place, message));
    }
}
