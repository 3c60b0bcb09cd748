package io.stackhall.server.relay;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.stackhall.core.answer.AnswerIdentity;
import io.stackhall.server.settings.Address;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * An upstream client, and the other end of its connections, on which a test writes what an upstream
 * sends. Calls are made one after the other.
 */
final class ScriptedConnections implements AutoCloseable {

    private static final int PATIENCE_MILLIS = 5000;
    private static final String HEAD_END = "\r\n\r\n";

    private final EventLoop loop;
    private final UpstreamClient client;
    private final ServerSocket server;
    private final List<Connection> connections = new ArrayList<>();
    private Connection last;

    ScriptedConnections(EventLoop loop) throws IOException {
        this.loop = loop;
        this.client = new UpstreamClient(loop, "X-Id");
        this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        server.setSoTimeout(PATIENCE_MILLIS);
    }

    /** The upstream's end of one connection, and the answers that it has sent there. */
    static final class Connection {

        private final Socket socket;
        private final List<String> sent = new ArrayList<>();
        private boolean cut;

        Connection(Socket socket) {
            this.socket = socket;
        }

        /** Records an answer, which may come again. */
        void addSent(String answer) {
            sent.add(answer);
        }

        /**
         * Returns the bytes of a copy, none if there is no such answer.
         *
         * @param late how many answers its original lies back, 0 for the last one
         * @param end after which byte it is cut, modulo its length; 0 for a whole one
         */
        String copy(int late, int end) {
            if (late >= sent.size()) {
                return "";
            }
            String answer = sent.get(sent.size() - 1 - late);
            int length = end % answer.length();
            cut |= length > 0;
            return length == 0 ? answer : answer.substring(0, length);
        }

        /** Returns whether all copies so far were whole. */
        boolean uncut() {
            return !cut;
        }

        /** Writes bytes; where the client has closed the connection, nobody reads them. */
        void write(String bytes) {
            try {
                socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // The client has ended the connection.
            }
        }

        /** Ends the upstream's bytes in good order, behind all that it has written. */
        void end() {
            try {
                socket.shutdownOutput();
            } catch (IOException e) {
                // The client has ended the connection.
            }
        }

        /** Reads until a request has come, or the client has ended the connection. */
        private void readRequest() {
            StringBuilder read = new StringBuilder();
            try {
                InputStream in = socket.getInputStream();
                while (read.indexOf(HEAD_END) < 0) {
                    int next = in.read();
                    if (next < 0) {
                        return;
                    }
                    read.append((char) next);
                }
            } catch (IOException e) {
                // The client has ended the connection.
            }
        }
    }

    /**
     * Sends a request, and returns the connection on which it came.
     *
     * @param unread written to the connection used last just before, so that the client has not
     *     read it when it sends the request
     */
    Connection send(
            HttpMethod method, AnswerIdentity identity, CallListener listener, String unread)
            throws Exception {
        Address address = new Address("127.0.0.1", server.getLocalPort());
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/x");
        long number =
                loop.submit(
                                () -> {
                                    if (!unread.isEmpty()) {
                                        last.write(unread);
                                    }
                                    return client.send(address, request, identity, listener)
                                            .use()
                                            .connection();
                                })
                        .get();
        last = number == 0 ? accept() : connections.get((int) number - 1);
        last.readRequest();
        return last;
    }

    /** Returns the connection that has carried the last request. */
    Connection last() {
        return last;
    }

    /** Gives the client the time to read what was written. */
    void settle() throws Exception {
        for (int turn = 0; turn < 3; turn++) {
            loop.submit(() -> {}).get();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Connection connection : connections) {
            connection.socket.close();
        }
    }

    private Connection accept() throws IOException {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(PATIENCE_MILLIS);
        Connection accepted = new Connection(socket);
        connections.add(accepted);
        return accepted;
    }
}
