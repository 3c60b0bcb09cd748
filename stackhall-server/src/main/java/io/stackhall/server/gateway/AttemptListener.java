package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.stackhall.server.relay.CallFailure;

/** Receives the events of one attempt to run a request at an instance. */
interface AttemptListener {

    /**
     * Called when the request is about to be written to the instance.
     *
     * @return whether its caller is still connected; otherwise it must not be written
     */
    boolean onSending();

    /** Called with each complete event of a stream; takes ownership of the event's buffer. */
    void onEvent(HttpResponse head, EventAssembler.Event event);

    /**
     * Called when the stream has ended normally; takes ownership of the buffer.
     *
     * @param rest the bytes after the last complete event
     */
    void onStreamEnd(HttpResponse head, ByteBuf rest);

    /** Called with a complete answer that is not a stream; takes ownership of the buffer. */
    void onAnswer(HttpResponse head, ByteBuf body);

    /** Called when the instance could not be reached or the connection broke during the attempt. */
    void onFailure(CallFailure failure);
}
