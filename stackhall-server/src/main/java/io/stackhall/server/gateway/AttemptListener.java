package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.stackhall.server.relay.CallFailure;

/** Hears what one instance makes of a request. */
interface AttemptListener {

    /** The request is about to be written. */
    void onSending();

    /** A whole event of a stream has come; takes the buffer over. */
    void onEvent(HttpResponse head, EventAssembler.Event event);

    /** The stream has ended whole; takes the buffer over, which holds what followed its events. */
    void onStreamEnd(HttpResponse head, ByteBuf rest);

    /** A whole answer that is no stream has come; takes the buffer over. */
    void onAnswer(HttpResponse head, ByteBuf body);

    /** The instance has broken off or could not be reached. */
    void onFailure(CallFailure failure);
}
