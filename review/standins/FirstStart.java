import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * One of three control machines is lost soon after the very first start, and an empty one takes its
 * place. The rule: a proper order is acknowledged within ack-ms in a stretch of a stable core.
 */
final class FirstStart {

    private static final double ACK = 4.0;
    private static final double CONTACT = 3.0;
    private static final double CATCH_UP = 4.0;
    private static final double END = 60.0;

    private FirstStart() {}

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
        double lostAt = Double.parseDouble(System.getenv().getOrDefault("LOST_AT", "0.5"));
        String how = System.getenv().getOrDefault("HOW", "replaced");
        int victim = Integer.parseInt(System.getenv().getOrDefault("VICTIM", "0"));
        try (Deployment system = new Deployment(root, record, 1)) {
            List<String> list = new ArrayList<>(system.controls());
            double begun = record.now();
            system.startAll();
            double disrupted = begun;
            if (trouble) {
                Node lost = system.core.get(victim);
                Thread.sleep(Math.max(0, (long) ((begun + lostAt - record.now()) * 1000)));
                lost.kill();
                disrupted = record.now();
                Thread.sleep(1000);
                if (how.equals("replaced")) {
                    Node next = system.core(victim, 2);
                    system.core.add(next);
                    next.start(false);
                    list.set(victim, next.control());
                    disrupted = record.now();
                } else if (how.equals("restarted")) {
                    lost.start(false);
                    disrupted = record.now();
                }
            }
            Thread.sleep(1000);
            double due = disrupted + Math.max(CONTACT, CATCH_UP) + ACK;
            record.say(
                    String.format(
                            Locale.ROOT,
                            "the operator sends its first order; due at %.1f at the latest",
                            due));
            double acknowledged =
                    new Operator(list, record).put(Configurations.plain(7), begun + END);
            system.reportEnded();
            long running = system.core.stream().filter(Node::alive).count();
            boolean ready = acknowledged > 0 && system.awaitReady(10);
            String read = new Operator(list, record).read(list.get(1));
            record.say(
                    acknowledged < 0
                            ? String.format(
                                    Locale.ROOT,
                                    "no acknowledgement in %.0f s; %d control machines run;"
                                            + " %d entry machines are ready;"
                                            + " reading the configuration: %s",
                                    END,
                                    running,
                                    system.fronts.stream().filter(Node::isReady).count(),
                                    read)
                            : String.format(
                                    Locale.ROOT,
                                    "acknowledged at %.3f; entry machines ready: %s",
                                    acknowledged,
                                    ready));
            boolean broken = acknowledged < 0 || acknowledged > due;
            record.say(broken ? "Acks is broken" : "Acks holds");
            return broken ? 1 : 0;
        }
    }
}
