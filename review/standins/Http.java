import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** As much of HTTP/1.1 as the stand-ins need. */
final class Http {

    private Http() {}

    /** A request or an answer, its header names in lower case. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static Socket connect(String address, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1))),
                timeoutMillis);
        return socket;
    }

    /** Makes one call on a connection of its own. */
    static Message call(
            String address, String method, String path, Map<String, String> headers, byte[] body, int timeoutMillis)
            throws IOException {
        try (Socket socket = connect(address, Math.min(1000, timeoutMillis))) {
            socket.setSoTimeout(timeoutMillis);
            send(socket.getOutputStream(), method + " " + path + " HTTP/1.1", address, headers, body);
            return read(socket.getInputStream(), method.equals("HEAD"));
        }
    }

    static void send(
            OutputStream out, String first, String host, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        if (host != null && !headers.containsKey("Host")) {
            head.append("Host: ").append(host).append("\r\n");
        }
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (!headers.containsKey("Transfer-Encoding")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Reads a message, or returns null where the connection ends before one. */
    static Message read(InputStream in, boolean headOnly) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headOnly) {
            return new Message(first, headers, new byte[0]);
        }
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            int size = Integer.parseInt(need(line(in)).strip(), 16);
            while (size > 0) {
                body.write(exactly(in, size));
                need(line(in));
                size = Integer.parseInt(need(line(in)).strip(), 16);
            }
            need(line(in));
        } else if (headers.containsKey("content-length")) {
            body.write(exactly(in, Integer.parseInt(headers.get("content-length"))));
        } else if (first.startsWith("HTTP/")) {
            in.transferTo(body);
        }
        return new Message(first, headers, body.toByteArray());
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("body cut short after " + bytes.length + " of " + length);
        }
        return bytes;
    }

    private static String need(String line) throws IOException {
        if (line == null) {
            throw new EOFException("body cut short");
        }
        return line;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (line.length() > 0) {
                    throw new EOFException("head cut short");
                }
                return null;
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
