import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {

    private final long begun = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the seconds since the start. */
    double now() {
        return (System.nanoTime() - begun) / 1e9;
    }

    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
        out.flush();
    }

    /** A line that is shown on the standard output as well. */
    synchronized void say(String text) {
        line(text);
        System.out.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
