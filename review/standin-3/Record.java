package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the time since its start. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String format, Object... values) {
        out.println(String.format(Locale.ROOT, "%8.3f s  ", millis() / 1_000.0)
                + String.format(Locale.ROOT, format, values));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
