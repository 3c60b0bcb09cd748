package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.stackhall.core.answer.AnswerEnd;
import io.stackhall.core.id.HostId;
import io.stackhall.server.relay.CallFailure;
import io.stackhall.server.relay.ConnectionUse;
import io.stackhall.server.relay.ForeignAnswer;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** Receives the events of one attempt to run a request at an instance. */
interface AttemptListener {

    /**
     * Called when the request is about to be written to the instance.
     *
     * @return whether its caller is still connected; otherwise it must not be written
     */
    boolean onSending();

    /** Called when an answer to another request has come in place of the one that is due. */
    void onPassedOver(ForeignAnswer answer);

    /** Called when the answer begins, with the place of the request on its connection. */
    void onBegin(ConnectionUse use);

    /** Called with each complete event of a stream; takes ownership of the event's buffer. */
    void onEvent(HttpResponse head, EventAssembler.Event event);

    /**
     * Called when a stream, or an answer that came in parts, has ended normally; takes ownership of
     * the buffer.
     *
     * @param rest the bytes after the last complete event
     */
    void onStreamEnd(HttpResponse head, ByteBuf rest, AnswerEnd end);

    /**
     * Called with a part of an answer that is too long to be held until it is complete; takes
     * ownership of the buffer.
     */
    void onPart(HttpResponse head, ByteBuf bytes);

    /** Called with a complete answer that is not a stream; takes ownership of the buffer. */
    void onAnswer(HttpResponse head, ByteBuf body, AnswerEnd end);

    /**
     * Called when this host has lost its path to the instance before the attempt has ended.
     *
     * @param stillLost whether the attempt goes on and nothing has come since
     */
    void onPathLost(BooleanSupplier stillLost);

    /**
     * Called when the instance could not be reached or the connection broke during the attempt.
     *
     * @param tunnel the host through which it was sent, if it was
     */
    void onFailure(CallFailure failure, Optional<HostId> tunnel);
}
