package io.stackhall.server.fleet;

import com.google.protobuf.ByteString;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.quarantine.Acquittal;
import io.stackhall.core.quarantine.Crash;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.rpc.generated.fleet.AcquittalRecord;
import io.stackhall.rpc.generated.fleet.CrashNotice;
import io.stackhall.rpc.generated.fleet.CrashRecord;
import io.stackhall.rpc.generated.peer.Frame;
import java.util.Collection;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Encodes the notices between hosts about requests that crash instances. */
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
        return CrashRecord.newBuilder()
                .setLife(crash.incarnation().toString())
                .addAllRequests(encode(crash.requests()))
                .build();
    }

    /** Decodes the crash of an incarnation. */
    public static Crash decode(CrashRecord record) {
        return new Crash(
                UpstreamId.parse(record.getLife()),
                new LinkedHashSet<>(decode(record.getRequestsList())));
    }

    /** Encodes an acquittal. */
    public static AcquittalRecord encode(Acquittal acquittal) {
        return AcquittalRecord.newBuilder()
                .setRequest(encode(acquittal.request()))
                .addAllLives(acquittal.incarnations().stream().map(UpstreamId::toString).toList())
                .build();
    }

    /** Decodes an acquittal. */
    public static Acquittal decode(AcquittalRecord record) {
        Set<UpstreamId> incarnations =
                record.getLivesList().stream().map(UpstreamId::parse).collect(Collectors.toSet());
        return new Acquittal(decode(record.getRequest()), incarnations);
    }

    /** Encodes request digests as raw bytes. */
    public static List<ByteString> encode(Collection<RequestDigest> requests) {
        return requests.stream().map(CrashCodec::encode).toList();
    }

    /** Decodes request digests. */
    public static List<RequestDigest> decode(List<ByteString> requests) {
        return requests.stream().map(CrashCodec::decode).toList();
    }

    private static ByteString encode(RequestDigest request) {
        return ByteString.copyFrom(HexFormat.of().parseHex(request.value()));
    }

    private static RequestDigest decode(ByteString request) {
        return new RequestDigest(HexFormat.of().formatHex(request.toByteArray()));
    }
}
