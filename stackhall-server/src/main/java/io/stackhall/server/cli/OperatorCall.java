package io.stackhall.server.cli;

import io.stackhall.server.settings.Address;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** One call of an operator to a control host, whose answer is printed. */
final class OperatorCall {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int OK = 200;

    private final Address control;

    OperatorCall(Address control) {
        this.control = control;
    }

    /** Asks for what a path lists. */
    ExitCode get(String path) {
        return send(request(path));
    }

    /** Has something done, in the name of an operator. */
    ExitCode post(String path, String operator) {
        return send(request(path).POST(HttpRequest.BodyPublishers.ofString(operator)));
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + control + path)).timeout(TIMEOUT);
    }

    private ExitCode send(HttpRequest.Builder call) {
        try (HttpClient client = HttpClient.newHttpClient()) {
            HttpResponse<String> answer =
                    client.send(call.build(), HttpResponse.BodyHandlers.ofString());
            System.out.println(answer.body());
            return answer.statusCode() == OK ? ExitCode.OK : ExitCode.FAILED;
        } catch (IOException e) {
            System.err.println("stackhall: " + control + " cannot be asked: " + e);
            return ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }
}
