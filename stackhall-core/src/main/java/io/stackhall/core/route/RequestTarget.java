package io.stackhall.core.route;

/** What the target of a request line names, in the forms of RFC 9112, section 3.2. */
public sealed interface RequestTarget {

    /** A target that is used as it is: a path, the whole server, or the authority of a tunnel. */
    record Plain() implements RequestTarget {}

    /**
     * A whole URI.
     *
     * @param authority its host, and its port if it has one
     * @param path its path and query, as a request to that host names them
     */
    record Absolute(String authority, String path) implements RequestTarget {}

    /** A URI whose scheme is not served on connections of this kind. */
    record OtherScheme() implements RequestTarget {}

    /** A target that the method does not allow, or that cannot be read. */
    record Malformed() implements RequestTarget {}
}
