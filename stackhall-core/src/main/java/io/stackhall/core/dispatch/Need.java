package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.SoftwareVersion;
import java.util.List;
import java.util.Optional;

/**
 * What a request needs of an instance.
 *
 * @param service the service that its route leads to
 * @param model the requested model, if the service runs models
 * @param adapter the requested adapter of that model, if any
 * @param parts the parts of its prompt, in order
 * @param promptTokens the length of its prompt in tokens
 * @param answerTokens the maximum number of tokens of its answer
 * @param rank its priority, 0 being the most urgent
 * @param software the only version of the instance's software that may run it, if it goes on with a
 *     stream that has begun
 */
public record Need(
        ServiceName service,
        Optional<ModelId> model,
        Optional<String> adapter,
        List<PromptPart> parts,
        int promptTokens,
        int answerTokens,
        int rank,
        Optional<SoftwareVersion> software) {

    public Need {
        parts = List.copyOf(parts);
    }

    /** Creates the need of a request that any version of the software may run. */
    public Need(
            ServiceName service,
            Optional<ModelId> model,
            Optional<String> adapter,
            List<PromptPart> parts,
            int promptTokens,
            int answerTokens,
            int rank) {
        this(service, model, adapter, parts, promptTokens, answerTokens, rank, Optional.empty());
    }

    /** Returns a copy that only instances of the given version meet. */
    public Need atVersion(SoftwareVersion version) {
        return new Need(
                service,
                model,
                adapter,
                parts,
                promptTokens,
                answerTokens,
                rank,
                Optional.of(version));
    }

    /** Returns whether an instance is of the service, and of the version if only one may run it. */
    boolean isMetBy(Instance instance) {
        return instance.service().equals(service)
                && (software.isEmpty() || instance.software().equals(software));
    }
}
