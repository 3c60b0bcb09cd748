package io.stackhall.server.fleet;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP messages byte by byte, so that tests see exactly what is on the wire. */
public final class RawHttp {

    private RawHttp() {}

    /** The head and the whole body of a request or answer; header names are in lower case. */
    public record Message(String startLine, Map<String, String> headers, byte[] body) {
        /** Returns a header, empty where it is missing. */
        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        /** Returns the status of an answer. */
        public int status() {
            return Integer.parseInt(startLine.split(" ", -1)[1]);
        }

        /** Returns the body as text. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Returns the bytes of a request without a body for a host that tests use. */
    public static String get(String target, String requestId, String... headers) {
        String start =
                "GET " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + requestId;
        return start + "\r\n" + String.join("\r\n", headers) + "\r\n\r\n";
    }

    /** Reads one message; a body without a length is read for answers only, up to the end. */
    public static Message read(InputStream in, boolean answer) throws IOException {
        Message head = readHead(in);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            readChunks(in, body);
        } else if (!head.header("content-length").isEmpty()) {
            body.write(in.readNBytes(Integer.parseInt(head.header("content-length"))));
        } else if (answer) {
            in.transferTo(body);
        }
        return new Message(head.startLine(), head.headers(), body.toByteArray());
    }

    /** Reads the head of a message. */
    public static Message readHead(InputStream in) throws IOException {
        String start = line(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String next = line(in); !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            headers.put(
                    next.substring(0, colon).toLowerCase(Locale.ROOT),
                    next.substring(colon + 1).strip());
        }
        return new Message(start, headers, new byte[0]);
    }

    /** Reads one chunk; an empty one ends the body. */
    public static byte[] chunk(InputStream in) throws IOException {
        int size = Integer.parseInt(line(in), 16);
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the chunk broke off");
        }
        line(in);
        return bytes;
    }

    private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        for (byte[] chunk = chunk(in); chunk.length > 0; chunk = chunk(in)) {
            body.write(chunk);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended within a head");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
