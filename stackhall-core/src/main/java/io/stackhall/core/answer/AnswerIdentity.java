package io.stackhall.core.answer;

import java.util.Objects;

/** By what the answer to a request is told apart from other answers on the same connection. */
public sealed interface AnswerIdentity {

    /** The answer names the id of its request; one that names none belongs to no request. */
    record Echoed(String id) implements AnswerIdentity {
        public Echoed {
            requireId(id);
        }
    }

    /**
     * The answer names the id of its request if its upstream does so for requests of this kind at
     * all.
     */
    record EchoedIfAtAll(String id) implements AnswerIdentity {
        public EchoedIfAtAll {
            requireId(id);
        }
    }

    /** Nothing but its place on the connection: its request has no id. */
    record Place() implements AnswerIdentity {}

    /** Returns the identity of the answer to a request with an id, or with an empty one. */
    static AnswerIdentity ofRequest(String id) {
        return id.isEmpty() ? new Place() : new Echoed(id);
    }

    private static void requireId(String id) {
        if (Objects.requireNonNull(id, "id").isEmpty()) {
            throw new IllegalArgumentException("the id is empty");
        }
    }
}
