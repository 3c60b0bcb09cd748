import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The operator raises max-header-bytes while clients keep their connections. The rule: a request
 * that is sent later than config-apply-ms after the acknowledgement is not handled as only the older
 * version allows.
 */
final class KeptLimits {

    private static final double APPLY = 2.0;
    private static final int OLD_LIMIT = 4096;
    private static final int NEW_LIMIT = 16384;
    private static final int HEADER_BYTES = 8000;
    private static final int CLIENTS_PER_FRONT = 10;

    private record Client(Node front, Socket socket, boolean kept) {}

    private KeptLimits() {}

    public static void main(String[] arguments) {
        int code = 2;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"))) {
            code = run(Path.of(arguments[0]).toAbsolutePath(), record);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int run(Path root, Record record) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Deployment system = new Deployment(root, record, 1)) {
            system.startAll();
            Operator operator = new Operator(system.controls(), record);
            int before = trouble ? OLD_LIMIT : NEW_LIMIT;
            if (operator.put(Configurations.plain(7, before), 30) < 0) {
                system.reportEnded();
                return 2;
            }
            for (int i = 0; i < 3; i++) {
                new Runner(
                                "i-7f3a91c" + i,
                                "feed-api",
                                Deployment.ZONES.get(i),
                                system.ip(i + 1, 60),
                                6,
                                20,
                                system.controls(),
                                record,
                                (runner, id) -> record.line("runner " + runner.id + " gets " + id))
                        .start();
            }
            if (!system.awaitReady(30)) {
                system.reportEnded();
                return 2;
            }
            Thread.sleep(3000);
            List<Client> clients = connect(system, true);
            for (int i = 0; i < clients.size(); i++) {
                if (send(clients.get(i), "small-" + i, 200, record) != 200) {
                    record.say("the system does not serve before the change");
                    return 2;
                }
            }
            double acknowledged = operator.put(Configurations.plain(9, NEW_LIMIT), record.now() + 10);
            if (acknowledged < 0) {
                return 2;
            }
            record.say("version 9 is acknowledged: max-header-bytes " + before + " -> " + NEW_LIMIT);
            Thread.sleep((long) ((acknowledged + APPLY + 1.0 - record.now()) * 1000));
            clients.addAll(connect(system, false));
            int wrongOnKept = 0;
            int wrongOnNew = 0;
            for (int i = 0; i < clients.size(); i++) {
                int status = send(clients.get(i), "large-" + i, HEADER_BYTES, record);
                wrongOnKept += status == 431 && clients.get(i).kept() ? 1 : 0;
                wrongOnNew += status == 431 && !clients.get(i).kept() ? 1 : 0;
                clients.get(i).socket().close();
            }
            record.say(
                    wrongOnKept
                            + " of "
                            + clients.size() / 2
                            + " requests on kept connections were refused with 431 over "
                            + APPLY
                            + " s after the acknowledgement, "
                            + wrongOnNew
                            + " on new ones");
            boolean broken = wrongOnKept + wrongOnNew > 0;
            record.say(broken ? "CONFIG is broken" : "CONFIG holds");
            return broken ? 1 : 0;
        }
    }

    private static List<Client> connect(Deployment system, boolean kept) throws IOException {
        List<Client> clients = new ArrayList<>();
        for (Node front : system.fronts) {
            for (int i = 0; i < CLIENTS_PER_FRONT; i++) {
                clients.add(new Client(front, Http.connect(front.front(), 1000), kept));
            }
        }
        return clients;
    }

    private static int send(Client client, String id, int headerBytes, Record record) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Host", "feed.example");
        headers.put("X-Request-Id", id);
        headers.put("X-Deadline-Ms", "3000");
        headers.put("X-Trace", "t".repeat(headerBytes));
        String on = client.front().name + (client.kept() ? ", kept" : ", new");
        try {
            client.socket().setSoTimeout(4000);
            Http.send(client.socket().getOutputStream(), "POST /status/2f HTTP/1.1", null, headers, new byte[0]);
            Http.Message answer = Http.read(client.socket().getInputStream(), false);
            record.line("client " + id + " (" + on + ") -> " + (answer == null ? "closed" : answer.first()));
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            record.line("client " + id + " (" + on + ") -> " + e);
            return 0;
        }
    }
}
