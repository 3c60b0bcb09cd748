package io.stackhall.server.fleet;

import com.google.protobuf.ByteString;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.quarantine.Acquittal;
import io.stackhall.core.quarantine.Crash;
import io.stackhall.core.quarantine.CrashCause;
import io.stackhall.core.quarantine.Presence;
import io.stackhall.core.quarantine.PromptPartDigest;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.rpc.generated.fleet.AcquittalRecord;
import io.stackhall.rpc.generated.fleet.ControlSnapshot;
import io.stackhall.rpc.generated.fleet.CrashNotice;
import io.stackhall.rpc.generated.fleet.CrashRecord;
import io.stackhall.rpc.generated.fleet.CrashedPart;
import io.stackhall.rpc.generated.fleet.PartAcquittalRecord;
import io.stackhall.rpc.generated.fleet.Sentence;
import io.stackhall.rpc.generated.peer.Frame;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Encodes the notices between hosts about what crashes instances. Digests are sent as raw bytes.
 */
public final class CrashCodec {

    private CrashCodec() {}

    /** Returns an empty notice. */
    public static CrashNotice.Builder notice() {
        return CrashNotice.newBuilder();
    }

    /** Returns a frame with a notice. */
    public static Frame frame(CrashNotice.Builder notice) {
        return Frame.newBuilder().setCrashNotice(notice).build();
    }

    /** Encodes the crash of an incarnation. */
    public static CrashRecord encode(Crash crash) {
        CrashRecord.Builder record =
                CrashRecord.newBuilder().setLife(crash.incarnation().toString());
        crash.causes()
                .forEach(
                        (cause, presence) -> {
                            switch (cause) {
                                case RequestDigest request -> record.addRequests(encode(request));
                                case PromptPartDigest part ->
                                        record.addParts(encode(part, presence));
                            }
                        });
        return record.build();
    }

    private static CrashedPart encode(PromptPartDigest part, Presence presence) {
        return CrashedPart.newBuilder()
                .setPart(encode(part))
                .setRound(presence.round())
                .setPosition(presence.position())
                .build();
    }

    /** Decodes the crash of an incarnation. */
    public static Crash decode(CrashRecord record) {
        Map<CrashCause, Presence> causes = new HashMap<>();
        record.getRequestsList()
                .forEach(request -> causes.put(request(request), Presence.OF_REQUEST));
        for (CrashedPart one : record.getPartsList()) {
            causes.put(part(one.getPart()), new Presence(one.getRound(), one.getPosition()));
        }
        return new Crash(UpstreamId.parse(record.getLife()), causes);
    }

    /** Adds an acquittal to a notice. */
    public static void add(CrashNotice.Builder notice, Acquittal acquittal) {
        List<String> lives = acquittal.incarnations().stream().map(UpstreamId::toString).toList();
        switch (acquittal.cause()) {
            case RequestDigest request ->
                    notice.addAcquittals(
                            AcquittalRecord.newBuilder()
                                    .setRequest(encode(request))
                                    .addAllLives(lives));
            case PromptPartDigest part ->
                    notice.addPartAcquittals(
                            PartAcquittalRecord.newBuilder()
                                    .setPart(encode(part))
                                    .addAllLives(lives));
        }
    }

    /** Decodes the acquittals of a notice. */
    public static List<Acquittal> acquittals(CrashNotice notice) {
        List<Acquittal> all = new ArrayList<>();
        for (AcquittalRecord record : notice.getAcquittalsList()) {
            all.add(new Acquittal(request(record.getRequest()), lives(record.getLivesList())));
        }
        for (PartAcquittalRecord record : notice.getPartAcquittalsList()) {
            all.add(new Acquittal(part(record.getPart()), lives(record.getLivesList())));
        }
        return all;
    }

    /** Encodes what is refused from now on, and what is not any more. */
    public static Sentence.Builder sentence(
            Collection<? extends CrashCause> added, Collection<? extends CrashCause> lifted) {
        return Sentence.newBuilder()
                .addAllAdded(encodeRequests(added))
                .addAllAddedParts(encodeParts(added))
                .addAllLifted(encodeRequests(lifted))
                .addAllLiftedParts(encodeParts(lifted));
    }

    /** Decodes what is refused from now on. */
    public static List<CrashCause> added(Sentence sentence) {
        return decode(sentence.getAddedList(), sentence.getAddedPartsList());
    }

    /** Decodes what is not refused any more. */
    public static List<CrashCause> lifted(Sentence sentence) {
        return decode(sentence.getLiftedList(), sentence.getLiftedPartsList());
    }

    /** Decodes all that the control group refuses. */
    public static List<CrashCause> sentenced(ControlSnapshot state) {
        return decode(state.getSentencedList(), state.getSentencedPartsList());
    }

    private static List<ByteString> encodeRequests(Collection<? extends CrashCause> causes) {
        return causes.stream()
                .filter(RequestDigest.class::isInstance)
                .map(CrashCodec::encode)
                .toList();
    }

    private static List<ByteString> encodeParts(Collection<? extends CrashCause> causes) {
        return causes.stream()
                .filter(PromptPartDigest.class::isInstance)
                .map(CrashCodec::encode)
                .toList();
    }

    private static List<CrashCause> decode(List<ByteString> requests, List<ByteString> parts) {
        Stream<CrashCause> decodedRequests = requests.stream().map(CrashCodec::request);
        return Stream.concat(decodedRequests, parts.stream().map(CrashCodec::part)).toList();
    }

    private static Set<UpstreamId> lives(List<String> texts) {
        return texts.stream().map(UpstreamId::parse).collect(Collectors.toSet());
    }

    private static ByteString encode(CrashCause cause) {
        return ByteString.copyFrom(HexFormat.of().parseHex(cause.value()));
    }

    private static RequestDigest request(ByteString digest) {
        return new RequestDigest(HexFormat.of().formatHex(digest.toByteArray()));
    }

    private static PromptPartDigest part(ByteString digest) {
        return new PromptPartDigest(HexFormat.of().formatHex(digest.toByteArray()));
    }
}
