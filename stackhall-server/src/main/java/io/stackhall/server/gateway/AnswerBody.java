package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.stackhall.core.answer.AnswerEnd;
import io.stackhall.core.answer.BodyFraming;
import java.util.Optional;

/** The body of one answer as it comes from its upstream. */
sealed interface AnswerBody permits HeldBody, EventBody {

    /**
     * Adds a part, which its owner releases.
     *
     * @return why the answer counts as broken off from here on, or empty if it does not
     */
    Optional<String> add(ByteBuf part);

    /** Returns what is known of the answer if its body ends here. */
    AnswerEnd end(BodyFraming framing);

    /** Hands what is left to the listener, as the end of a whole answer. */
    void complete(AnswerEnd end);

    /** Hands nothing on any more, and holds nothing. */
    void abandon();
}
