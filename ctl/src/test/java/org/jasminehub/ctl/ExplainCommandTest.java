package org.jasminehub.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletionStage;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.platform.log.LogService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests {@code explain} and {@code summary} on the logs of two instances. */
final class ExplainCommandTest {
    private static final String ENTRY_1_LOG = """
            {"time":9000,"event":3503,"name":"STORE_LOST","instance":"entry-1","subject":"CONFIGURATION","detail":"down"}
            {"time":9500,"event":3503,"name":"STORE_LOST","instance":"entry-9","subject":"CONFIGURATION","detail":"down"}
            {"time":10200,"event":5503,"name":"ATTEMPT_FAILED","instance":"entry-1","requestId":"a","endpoint":"e-1","reason":"CUT"}
            {"time":10300,"event":5501,"name":"CALL_REFUSED","instance":"entry-1","requestId":"a","code":"endpoint-failed","totalMillis":120}
            {"time":11000,"event":3512,"name":"ENDPOINT_QUIET","instance":"entry-1","subject":"e-1","detail":"nothing is sent for 2000 ms"}
            {"time":11100,"event":5501,"name":"CALL_REFUSED","instance":"entry-1","requestId":"q","code":"endpoints-quiet","totalMillis":1}
            some other program's line
            """;
    private static final String ENTRY_2_LOG = """
            12.5 entry-2 {"time":70900,"event":5500,"name":"CALL_SERVED","instance":"entry-2","requestId":"b","code":"","totalMillis":80}
            """;

    /** Fails on any connection, since these commands only read files. */
    private static final class NoConnections implements Connections {
        @Override
        public LogService openLog(String address) {
            throw new AssertionError(address);
        }

        @Override
        public CompletionStage<StatusJson> fetchStatus(String address) {
            throw new AssertionError(address);
        }
    }

    @TempDir
    Path directory;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private CtlProgram program;

    @BeforeEach
    void start() throws IOException {
        PrintStream console = new PrintStream(output, true, StandardCharsets.UTF_8);
        program = new CtlProgram(new NoConnections(), new ManualClock(0), millis -> {}, () -> "n", console, console);
        Files.writeString(directory.resolve("one.log"), ENTRY_1_LOG);
        Files.writeString(directory.resolve("two.log"), ENTRY_2_LOG);
        Files.writeString(directory.resolve("other.txt"), "nothing here\n");
    }

    private String run(ExitCode expected, String... arguments) {
        assertEquals(expected, program.run(arguments), output.toString(StandardCharsets.UTF_8));
        return output.toString(StandardCharsets.UTF_8);
    }

    private String file(String name) {
        return directory.resolve(name).toString();
    }

    /** Tests of {@code explain}. */
    @Nested
    final class Explain {
        @Test
        void testEventsAreInOrderOfTimeWithPrecedingStateChanges() {
            String text = run(ExitCode.OK, "explain", "--request", "a", file("two.log"), file("one.log"));

            assertTrue(text.indexOf("STORE_LOST") < text.indexOf("ATTEMPT_FAILED"), text);
            assertTrue(text.indexOf("ATTEMPT_FAILED") < text.indexOf("CALL_REFUSED"), text);
            assertEquals(3, text.lines().count(), text);
        }

        @Test
        void testARefusalForQuietEndpointsIsShownWithThePeriodThatCausedIt() {
            String text = run(ExitCode.OK, "explain", "--request", "q", file("one.log"));

            assertTrue(text.indexOf("ENDPOINT_QUIET") < text.indexOf("code=endpoints-quiet"), text);
            assertTrue(text.contains("subject=e-1 detail=nothing is sent for 2000 ms"), text);
        }

        @Test
        void testAnUnknownRequestIsAnError() {
            assertTrue(run(ExitCode.BAD_INPUT, "explain", "--request", "zz", file("one.log"))
                    .contains("no line of these logs names request zz"));
        }

        @Test
        void testFileWithoutEventsIsAnError() {
            assertTrue(run(ExitCode.BAD_INPUT, "explain", "--request", "a", file("other.txt"))
                    .contains("holds no line of a jasminehub log"));
        }
    }

    /** Tests of {@code summary}. */
    @Nested
    final class Summary {
        @Test
        void testCallsAreCountedByCodeInstanceAndMinute() {
            String counts = run(ExitCode.OK, "summary", file("one.log"), file("two.log"));

            assertTrue(counts.contains("1  CALL_REFUSED endpoint-failed"), counts);
            assertTrue(counts.contains("1  entry-2  CALL_SERVED"), counts);
            assertTrue(counts.contains("1  minute 1  CALL_SERVED"), counts);
        }
    }
}
