package io.stackhall.tests.harness;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** The configurations of a soak: each adds a route that all later ones keep. */
final class SoakConfiguration {

    /** A path on the route whose requests may not be repeated. */
    static final String ONCE = "/once/x";

    private static final Pattern ADDED = Pattern.compile("/v(\\d+)/x");

    private SoakConfiguration() {}

    /** Returns a path on the route that a version has added. */
    static String added(long version) {
        return "/v" + version + "/x";
    }

    /** Returns the version that has added a path's route, or nothing where every one has it. */
    static Optional<Long> versionThatAdded(String path) {
        Matcher added = ADDED.matcher(path);
        return added.matches() ? Optional.of(Long.valueOf(added.group(1))) : Optional.empty();
    }

    /** Returns the configuration of a version. */
    static String of(long version) {
        String added =
                IntStream.rangeClosed(1, (int) version)
                        .mapToObj(number -> route("v" + number, "safe", "plain"))
                        .collect(Collectors.joining(","));
        return """
        {"version":%d,"routes":[%s,%s,%s,%s,%s,%s],"services":[%s,%s,%s,%s]}"""
                .formatted(
                        version,
                        route("base", "safe", "plain"),
                        route("once", "unsafe", "plain"),
                        route("limited", "safe", LimitedUpstream.SERVICE),
                        route("asking", "safe", AskingUpstream.SERVICE),
                        stream("breaking", BreakingUpstream.SERVICE),
                        added,
                        service("plain"),
                        service(LimitedUpstream.SERVICE),
                        service(AskingUpstream.SERVICE),
                        service(BreakingUpstream.SERVICE));
    }

    private static String service(String name) {
        return """
        {"name":"%s","health-path":"/h","max-connections":200}"""
                .formatted(name);
    }

    private static String stream(String name, String service) {
        String route = route(name, "streaming", service);
        return route.substring(0, route.length() - 1) + ",\"resumable\":true,\"gap-aim-ms\":400}";
    }

    private static String route(String name, String kind, String service) {
        return """
        {"name":"%s","host":"a.example","path-prefix":"/%s/","kind":"%s",\
        "timeout-ms":3000,"target-latency-ms":100,"priority":1,"service":"%s",\
        "max-attempts":2}"""
                .formatted(name, name, kind, service);
    }
}
