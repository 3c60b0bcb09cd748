package io.stackhall.server.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.stackhall.core.answer.BodyFraming;

/** Hears what becomes of one call; all methods are called on the event loop. */
public interface CallListener {

    /**
     * The request is about to be written: from here on the upstream may run it.
     *
     * @return whether it may be written; otherwise the call fails as one that was not sent
     */
    boolean sending();

    /**
     * An answer to another request has come instead, and is passed over.
     *
     * @param answer what is known of it
     */
    default void passedOver(ForeignAnswer answer) {}

    /** The head of the answer has come. */
    void answered(HttpResponse head);

    /** A part of the answer's body has come; the buffer is released by the caller. */
    void received(ByteBuf part);

    /**
     * The answer's body has ended as its framing asks for.
     *
     * @param framing by what the end was recognized
     */
    void completed(BodyFraming framing);

    /**
     * The call has ended without a whole answer.
     *
     * @param failure how far it came, and why it ended
     */
    void failed(CallFailure failure);
}
