import java.nio.file.Path;
import java.util.List;

/** A runner as a process of its own, so that its end is that of a process. */
final class RunnerProcess {

    private RunnerProcess() {}

    /** Takes its id, service, zone, loopback address, controls separated by commas, and a record. */
    public static void main(String[] words) throws Exception {
        Runner runner =
                new Runner(
                        words[0],
                        words[1],
                        words[2],
                        words[3],
                        6,
                        20,
                        List.of(words[4].split(",")),
                        new Record(Path.of(words[5])),
                        (one, id) -> {});
        runner.answerWithoutLength();
        runner.start();
        System.in.transferTo(java.io.OutputStream.nullOutputStream());
        System.exit(0);
    }
}
