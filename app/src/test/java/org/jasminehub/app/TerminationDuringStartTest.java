package org.jasminehub.app;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.jasminehub.app.process.Settings;
import org.jasminehub.platform.http.Address;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a process that is terminated while it starts stops as usual. */
@Timeout(60)
final class TerminationDuringStartTest {
    @TempDir
    Path directory;

    /** Guards against requests that are lost because a process listens before it can stop properly. */
    @Test
    void testAnEntryInstanceThatListensIsDrainedBeforeItsProcessEnds() throws Exception {
        Address absent = new Address("127.0.0.1", 1);
        Path settings = Files.writeString(directory.resolve("entry.yaml"), Settings.entry("entry-1", absent, absent));
        Path log = directory.resolve("entry.log");
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx64m",
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        TerminatedProgram.class.getName(),
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        process.waitFor();

        String lines = Files.readString(log);
        assertTrue(lines.contains("started ") && lines.contains("DRAIN_ENDED"), lines);
    }

    /** An entry instance that is terminated when it reports its start, after its listeners were opened. */
    static final class TerminatedProgram {
        private TerminatedProgram() {}

        public static void main(String[] args) {
            PrintStream out = new PrintStream(System.out, true) {
                @Override
                public void println(String line) {
                    super.println(line);
                    new Thread(() -> System.exit(0)).start();
                    awaitShutdown();
                }
            };
            new Main(out, System.err).run("entry", "--settings", args[0]);
        }

        /** Blocks until no shutdown hook can be registered any more. */
        private static void awaitShutdown() {
            Thread hook = new Thread(() -> {});
            try {
                while (Runtime.getRuntime().removeShutdownHook(hook) || !hook.isAlive()) {
                    Runtime.getRuntime().addShutdownHook(hook);
                }
            } catch (IllegalStateException e) {
                // The shutdown has begun.
            }
        }
    }
}
