package io.stackhall.server.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.stackhall.core.fleet.EvacuatedZones;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.quarantine.CrashCause;
import io.stackhall.rpc.generated.fleet.ControlCommand;
import io.stackhall.rpc.generated.fleet.ControlSnapshot;
import io.stackhall.rpc.generated.fleet.InstanceEnd;
import io.stackhall.rpc.generated.fleet.PutRoutes;
import io.stackhall.rpc.generated.fleet.Sentence;
import io.stackhall.rpc.generated.fleet.TakeOver;
import io.stackhall.rpc.generated.fleet.ZoneEvacuation;
import io.stackhall.server.fleet.CrashCodec;
import io.stackhall.server.fleet.EvacuationCodec;
import io.stackhall.server.group.GroupState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The replicated state of the control group: the configuration of the highest version, the host
 * that last took over as order issuer, the evacuated zones, the requests and parts of prompts that
 * are refused because they crash instances (sentences), and the instances that have announced their
 * end.
 */
final class ControlStateMachine implements GroupState {

    private static final Logger logger = LogManager.getLogger(ControlStateMachine.class);

    /** As many as a host remembers of the instances that are gone. */
    private static final int MAX_ENDED = 2_000;

    private volatile ControlSnapshot state = initial();

    /** Returns the state applied on this host, which may lag behind the leader's. */
    ControlSnapshot state() {
        return state;
    }

    @Override
    public byte[] apply(byte[] command) {
        ControlCommand decoded = decode(command);
        switch (decoded.getCommandCase()) {
            case PUT_ROUTES -> put(decoded.getPutRoutes());
            case TAKE_OVER -> takeOver(decoded.getTakeOver());
            case SENTENCE -> sentence(decoded.getSentence());
            case EVACUATION -> evacuate(decoded.getEvacuation());
            case END -> end(decoded.getEnd());
            case COMMAND_NOT_SET -> logger.error("control.command-unknown");
        }
        return new byte[0];
    }

    /**
     * Returns the state without the instances that have ended, and without the configuration's body
     * if the caller holds that version.
     */
    @Override
    public byte[] query(byte[] query) {
        ControlSnapshot.Builder now = state.toBuilder().clearEnded();
        boolean held = query.length > 0 && decodeState(query).getVersion() == now.getVersion();
        return (held ? now.clearBody() : now).build().toByteArray();
    }

    /**
     * Returns a query for the state from a host that already holds a version of the configuration.
     */
    static byte[] stateQuery(long heldVersion) {
        return ControlSnapshot.newBuilder().setVersion(heldVersion).build().toByteArray();
    }

    @Override
    public byte[] snapshot() {
        return state.toByteArray();
    }

    @Override
    public void restore(byte[] snapshot) {
        if (snapshot.length == 0) {
            return;
        }
        state = decodeState(snapshot);
    }

    @Override
    public void reformed(boolean memoryLost) {
        logger.warn("control.reformed memoryLost={}", memoryLost);
    }

    static byte[] putCommand(long version, byte[] body) {
        return ControlCommand.newBuilder()
                .setPutRoutes(
                        PutRoutes.newBuilder()
                                .setVersion(version)
                                .setBody(ByteString.copyFrom(body)))
                .build()
                .toByteArray();
    }

    static byte[] takeOverCommand(String holder, long term) {
        return ControlCommand.newBuilder()
                .setTakeOver(TakeOver.newBuilder().setHolder(holder).setTerm(term))
                .build()
                .toByteArray();
    }

    static byte[] sentenceCommand(Collection<CrashCause> added, Collection<CrashCause> lifted) {
        return command(CrashCodec.sentence(added, lifted));
    }

    /** Returns the command by which an operator lifts the refusal of causes of crashes. */
    static byte[] liftCommand(Collection<CrashCause> causes, String operator) {
        return command(CrashCodec.sentence(List.of(), causes).setOperator(operator));
    }

    private static byte[] command(Sentence.Builder sentence) {
        return ControlCommand.newBuilder().setSentence(sentence).build().toByteArray();
    }

    static byte[] evacuationCommand(ZoneId zone, boolean ends) {
        return ControlCommand.newBuilder()
                .setEvacuation(ZoneEvacuation.newBuilder().setZone(zone.value()).setEnds(ends))
                .build()
                .toByteArray();
    }

    static byte[] endCommand(UpstreamId id) {
        return ControlCommand.newBuilder()
                .setEnd(InstanceEnd.newBuilder().setInstance(id.toString()))
                .build()
                .toByteArray();
    }

    static ControlSnapshot decodeState(byte[] bytes) {
        try {
            return ControlSnapshot.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("damaged state of the control group", e);
        }
    }

    private void put(PutRoutes put) {
        if (put.getVersion() > state.getVersion()) {
            logger.info("routes.committed version={} was={}", put.getVersion(), state.getVersion());
            state = state.toBuilder().setVersion(put.getVersion()).setBody(put.getBody()).build();
        }
    }

    /** A host may repeat its command after it has lost its leadership to another one. */
    private void takeOver(TakeOver takeOver) {
        if (takeOver.getTerm() < state.getTerm()) {
            return;
        }
        state =
                state.toBuilder()
                        .setHolder(takeOver.getHolder())
                        .setTerm(takeOver.getTerm())
                        .build();
    }

    private void evacuate(ZoneEvacuation order) {
        ZoneId zone = new ZoneId(order.getZone());
        EvacuatedZones before = EvacuationCodec.decode(state.getEvacuated());
        EvacuatedZones after = order.getEnds() ? before.without(zone) : before.with(zone);
        logger.info(
                "evacuation.committed zone={} ends={} revision={}",
                zone,
                order.getEnds(),
                after.revision());
        state = state.toBuilder().setEvacuated(EvacuationCodec.encode(after)).build();
    }

    private void end(InstanceEnd end) {
        if (state.getEndedList().contains(end.getInstance())) {
            return;
        }
        List<String> ended = new ArrayList<>(state.getEndedList());
        ended.add(end.getInstance());
        int surplus = Math.max(0, ended.size() - MAX_ENDED);
        state =
                state.toBuilder()
                        .clearEnded()
                        .addAllEnded(ended.subList(surplus, ended.size()))
                        .build();
    }

    private void sentence(Sentence sentence) {
        Set<CrashCause> all = new LinkedHashSet<>(CrashCodec.sentenced(state));
        List<CrashCause> added = CrashCodec.added(sentence);
        List<CrashCause> lifted = CrashCodec.lifted(sentence);
        lifted.forEach(all::remove);
        all.addAll(added);
        logger.info(
                "sentences.committed added={} lifted={} inForce={} operator={}",
                added.size(),
                lifted.size(),
                all.size(),
                sentence.getOperator());
        Sentence inForce = CrashCodec.sentence(all, List.of()).build();
        state =
                state.toBuilder()
                        .clearSentenced()
                        .addAllSentenced(inForce.getAddedList())
                        .clearSentencedParts()
                        .addAllSentencedParts(inForce.getAddedPartsList())
                        .build();
    }

    private static ControlSnapshot initial() {
        return ControlSnapshot.newBuilder().setVersion(-1).build();
    }

    private static ControlCommand decode(byte[] command) {
        try {
            return ControlCommand.parseFrom(command);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("damaged command of the control group", e);
        }
    }
}
