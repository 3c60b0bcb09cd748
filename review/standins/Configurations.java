/** Configurations of the small deployment. */
final class Configurations {

    private Configurations() {}

    /** One plain service with a route that may be repeated and one that may not. */
    static String plain(long version) {
        return plain(version, 16384);
    }

    /** The same with a route of streams, which may not be taken up. */
    static String withStreams(long version) {
        String stream =
                """
                {"name":"r-stream","host":"feed.example","path-prefix":"/stream/","kind":"streaming","timeout-ms":5000,"target-latency-ms":800,"priority":1,"service":"feed-api","max-attempts":1,"session-affinity":false,"resumable":false,"gap-aim-ms":400},
                """;
        return plain(version).replace("\"routes\":[", "\"routes\":[" + stream);
    }

    /** The same with another limit of a request's head. */
    static String plain(long version, int maxHeaderBytes) {
        return """
        {"version":%d,"routes":[
        {"name":"r-status","host":"feed.example","path-prefix":"/status/","kind":"unsafe","timeout-ms":3000,"target-latency-ms":200,"priority":1,"service":"feed-api","max-attempts":1,"session-affinity":false,"resumable":false},
        {"name":"r-snippet","host":"feed.example","path-prefix":"/snippet/","kind":"safe","timeout-ms":3000,"target-latency-ms":200,"priority":1,"service":"feed-api","max-attempts":2,"session-affinity":false,"resumable":false}],
        "services":[{"name":"feed-api","health-path":"/health","max-connections":96,"protocol":"h1","tls":false}],
        "limits":{"max-header-bytes":%d,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}
        """
                .formatted(version, maxHeaderBytes);
    }
}
