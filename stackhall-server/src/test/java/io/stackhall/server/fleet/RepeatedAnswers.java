package io.stackhall.server.fleet;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Answers requests, and sends each answer a second time in the place of a later one on its
 * connection.
 */
public final class RepeatedAnswers implements ScriptedUpstream.Script {

    private final int distance;
    private final Function<RawHttp.Message, String> answers;
    private final Map<Socket, List<String>> sent = new ConcurrentHashMap<>();
    private final AtomicInteger copies = new AtomicInteger();

    /**
     * Creates a script.
     *
     * @param distance by how many answers a copy comes later than its original
     * @param answers the bytes of the answer to a request
     */
    public RepeatedAnswers(int distance, Function<RawHttp.Message, String> answers) {
        this.distance = distance;
        this.answers = answers;
    }

    @Override
    public void answer(RawHttp.Message request, ScriptedUpstream.Connection to) throws IOException {
        List<String> before = sent.computeIfAbsent(to.socket(), key -> new ArrayList<>());
        String copy = before.size() < distance ? "" : before.get(before.size() - distance);
        if (!copy.isEmpty()) {
            copies.incrementAndGet();
        }
        String answer = answers.apply(request);
        before.add(answer);
        to.write(copy + answer);
    }

    /** Returns how many copies were sent. */
    public int copies() {
        return copies.get();
    }

    /** Returns the bytes of a whole answer, which echoes the request's id if it has one. */
    public static String bytes(RawHttp.Message request, int status, String body, String... more) {
        String id = request.header("x-request-id");
        StringBuilder answer = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        if (!id.isEmpty()) {
            answer.append("X-Request-Id: ").append(id).append("\r\n");
        }
        for (String line : more) {
            answer.append(line).append("\r\n");
        }
        answer.append("Content-Length: ").append(body.length()).append("\r\n\r\n");
        return answer + (request.startLine().startsWith("HEAD ") ? "" : body);
    }
}
