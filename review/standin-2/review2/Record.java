package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
    }

    /** Returns the milliseconds since the start. */
    long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String format, Object... arguments) {
        String text = arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
        out.printf(Locale.ROOT, "%9.3f %s%n", nowMillis() / 1_000.0, text);
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    void say(String format, Object... arguments) {
        String text = arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
        line("%s", text);
        System.out.println(text);
    }

    @Override
    public void close() {
        out.close();
    }
}
