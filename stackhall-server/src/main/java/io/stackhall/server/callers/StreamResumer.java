package io.stackhall.server.callers;

import io.stackhall.core.id.RequestId;
import io.stackhall.server.upstreams.UpstreamCall;
import io.stackhall.server.upstreams.UpstreamClient;
import io.stackhall.server.upstreams.UpstreamRequest;
import java.io.InputStream;
import java.util.Map;

/** Requests the rest of an interrupted event stream from the upstream that produced it. */
final class StreamResumer {

    private static final int MAX_RESUMES = 3;
    private static final long TIMEOUT_MILLIS = 2000;
    private static final int OK = 200;

    private final UpstreamClient upstreams;
    private final String address;
    private final String stream;
    private final RequestId request;
    private int resumes;

    StreamResumer(UpstreamClient upstreams, String address, String stream, RequestId request) {
        this.upstreams = upstreams;
        this.address = address;
        this.stream = stream;
        this.request = request;
    }

    /** Returns the stream from an offset in bytes, or null if it cannot be resumed. */
    InputStream resumeFrom(long offset) {
        if (stream.isEmpty() || resumes >= MAX_RESUMES) {
            return null;
        }
        resumes++;
        UpstreamRequest resume =
                new UpstreamRequest(
                        request,
                        "GET",
                        "/streams/" + stream + "?offset=" + offset,
                        Map.of(),
                        new byte[0],
                        false);
        UpstreamCall.Opening opening = upstreams.call(address, resume).open(TIMEOUT_MILLIS);
        return opening instanceof UpstreamCall.Opening.Begun begun && begun.status() == OK
                ? begun.body()
                : null;
    }
}
