import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** An operator who sends the same order to one daemon after the other until it is acknowledged. */
final class Operator {

    private final List<String> controls;
    private final Record record;

    Operator(List<String> controls, Record record) {
        this.controls = controls;
        this.record = record;
    }

    /** Returns when the order was acknowledged, or a negative number if it was not until then. */
    double put(String configuration, double until) throws InterruptedException {
        byte[] body = configuration.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; record.now() < until; i++) {
            String at = controls.get(i % controls.size());
            String outcome;
            try {
                Http.Message answer =
                        Http.call(
                                at,
                                "POST",
                                "/-/config/put",
                                Map.of("Content-Type", "application/json"),
                                body,
                                1000);
                outcome = answer == null ? "closed" : answer.status() + " " + answer.text();
                if (answer != null && answer.status() == 200) {
                    record.line("operator: put at " + at + " -> 200");
                    return record.now();
                }
            } catch (IOException e) {
                outcome = e.toString();
            }
            record.line("operator: put at " + at + " -> " + outcome);
            Thread.sleep(Math.min(500, 100 + 50L * i));
        }
        return -1;
    }

    /** Reads the configuration at one daemon. */
    String read(String at) {
        try {
            Http.Message answer = Http.call(at, "GET", "/-/config/get", Map.of(), new byte[0], 1000);
            return answer == null ? "closed" : "" + answer.status();
        } catch (IOException e) {
            return e.toString();
        }
    }
}
