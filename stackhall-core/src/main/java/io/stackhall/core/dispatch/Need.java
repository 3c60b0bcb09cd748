package io.stackhall.core.dispatch;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import java.util.List;
import java.util.Optional;

/**
 * What a request needs of an instance.
 *
 * @param service the service that its route leads to
 * @param model the model asked for, if its service runs models
 * @param adapter the adapter of that model, if one is asked for
 * @param parts the parts of its prompt, in order
 * @param promptTokens the length of its prompt
 * @param answerTokens the most tokens of its answer
 * @param rank how urgent it is, 0 first
 */
public record Need(
        ServiceName service,
        Optional<ModelId> model,
        Optional<String> adapter,
        List<PromptPart> parts,
        int promptTokens,
        int answerTokens,
        int rank) {

    /** Copies the parts. */
    public Need {
        parts = List.copyOf(parts);
    }
}
