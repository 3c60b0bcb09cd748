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

/** Encodes what hosts tell each other of requests that end instances. */
public final class CrashCodec {

    private CrashCodec() {}

    /** Returns a notice that says nothing yet. */
    public static CrashNotice.Builder notice() {
        return CrashNotice.newBuilder();
    }

    /** Returns a notice in a frame. */
    public static Frame frame(CrashNotice.Builder notice) {
        return Frame.newBuilder().setCrashNotice(notice).build();
    }

    /** Encodes the end of a life. */
    public static CrashRecord encode(Crash crash) {
        return CrashRecord.newBuilder()
                .setLife(crash.incarnation().toString())
                .addAllRequests(encode(crash.requests()))
                .build();
    }

    /** Decodes the end of a life. */
    public static Crash decode(CrashRecord record) {
        return new Crash(
                UpstreamId.parse(record.getLife()),
                new LinkedHashSet<>(decode(record.getRequestsList())));
    }

    /** Encodes what is taken back. */
    public static AcquittalRecord encode(Acquittal acquittal) {
        return AcquittalRecord.newBuilder()
                .setRequest(encode(acquittal.request()))
                .addAllLives(acquittal.incarnations().stream().map(UpstreamId::toString).toList())
                .build();
    }

    /** Decodes what is taken back. */
    public static Acquittal decode(AcquittalRecord record) {
        Set<UpstreamId> lives =
                record.getLivesList().stream().map(UpstreamId::parse).collect(Collectors.toSet());
        return new Acquittal(decode(record.getRequest()), lives);
    }

    /** Encodes digests. */
    public static List<ByteString> encode(Collection<RequestDigest> requests) {
        return requests.stream().map(CrashCodec::encode).toList();
    }

    /** Decodes digests. */
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
