package io.stackhall.core.route;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses the targets of request lines.
 *
 * <p>Load pattern: most callers send a path, and name its host in the Host header. Some take a host
 * for a proxy and send a whole URI, whose authority counts then, whatever the Host header says.
 */
public final class RequestTargetParser {

    private static final String SERVED_SCHEME = "http";
    private static final String TUNNEL_METHOD = "CONNECT";
    private static final String OPTIONS_METHOD = "OPTIONS";
    private static final String WHOLE_SERVER = "*";

    /** Has no user information, which a recipient takes for an error. */
    private static final String AUTHORITY =
            "(?:\\[[0-9A-Fa-f:.]+]|[\\w.~!$&'()*+,;=%-]+)(?::\\d{0,5})?";

    /** Has no fragment, which is not part of a request. */
    private static final Pattern URI =
            Pattern.compile(
                    "(?<scheme>[A-Za-z][A-Za-z0-9+.-]*)://"
                            + "(?<authority>"
                            + AUTHORITY
                            + ")(?<path>(?:[/?][^#]*)?)");

    /** Has a port, as a tunnel has no other. */
    private static final Pattern TUNNEL = Pattern.compile(AUTHORITY + "(?<=:\\d{1,5})");

    private RequestTargetParser() {}

    /** Returns what a target names in a request of a method. */
    public static RequestTarget parse(String method, String target) {
        if (method.equals(TUNNEL_METHOD)) {
            return TUNNEL.matcher(target).matches()
                    ? new RequestTarget.Plain()
                    : new RequestTarget.Malformed();
        }
        boolean wholeServer = target.equals(WHOLE_SERVER) && method.equals(OPTIONS_METHOD);
        if (target.startsWith("/") || wholeServer) {
            return new RequestTarget.Plain();
        }
        Matcher uri = URI.matcher(target);
        if (!uri.matches()) {
            return new RequestTarget.Malformed();
        }
        if (!uri.group("scheme").equalsIgnoreCase(SERVED_SCHEME)) {
            return new RequestTarget.OtherScheme();
        }
        return new RequestTarget.Absolute(uri.group("authority"), path(method, uri.group("path")));
    }

    private static String path(String method, String path) {
        if (path.isEmpty() && method.equals(OPTIONS_METHOD)) {
            return WHOLE_SERVER;
        }
        return path.startsWith("/") ? path : "/" + path;
    }
}
