package io.stackhall.core.dispatch;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
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
 */
public record Need(
        ServiceName service,
        Optional<ModelId> model,
        Optional<String> adapter,
        List<PromptPart> parts,
        int promptTokens,
        int answerTokens,
        int rank) {

    public Need {
        parts = List.copyOf(parts);
    }
}
