package org.jasminehub.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.approvaltests.Approvals;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.ctl.FaultyLog.AppendFault;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.platform.log.LogService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class CtlProgramTest {
    private static final String LOG = "127.0.0.1:7000";

    @TempDir
    Path directory;

    private final ManualClock clock = new ManualClock(0);
    private final FaultyLog log = new FaultyLog(clock);
    private final Map<String, Deque<StatusJson>> statuses = new HashMap<>();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final PrintStream console = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    private int nonces;

    private final class FakeConnections implements Connections {
        @Override
        public LogService openLog(String address) {
            return log;
        }

        @Override
        public CompletionStage<StatusJson> fetchStatus(String address) {
            Deque<StatusJson> responses = statuses.getOrDefault(address, new ArrayDeque<>());
            if (responses.isEmpty()) {
                return CompletableFuture.failedFuture(new PlatformException("entry", "no answer", null));
            }
            return CompletableFuture.completedFuture(responses.size() > 1 ? responses.poll() : responses.peek());
        }
    }

    @BeforeEach
    void writeDocuments() throws IOException {
        write("one.yaml", 1);
        write("two.yaml", 2);
        Files.writeString(directory.resolve("bad.yaml"), "schemaVersion: 1\nteam: drafts\nroutes: []\n");
    }

    private void write(String name, int weight) throws IOException {
        String text = "schemaVersion: 1\nteam: drafts\nworkspaces: []\nroutes: []\nexperts: {skewWeight: " + weight
                + ", moveWeight: 1}\n";
        Files.writeString(directory.resolve(name), text);
    }

    private void run(String line) {
        console.println("$ jasminehubctl " + line);
        String[] arguments = line.replace("DIR", directory.toString()).split(" ");
        CtlProgram program = new CtlProgram(
                new FakeConnections(), clock, clock::advanceMillis, () -> "nonce-" + nonces++, console, console);
        console.println("exit " + program.run(arguments).status());
    }

    private void publish(String base, String operator, String file) {
        run("publish --log " + LOG + " --base " + base + " --operator " + operator + " --reason campaign DIR/" + file);
    }

    private String transcript() {
        return bytes.toString(StandardCharsets.UTF_8).replace(directory.toString(), "DIR");
    }

    private void addStatuses(String address, String instance, boolean current, long... versions) {
        Deque<StatusJson> responses = statuses.computeIfAbsent(address, key -> new ArrayDeque<>());
        for (long version : versions) {
            List<StatusJson.MemberJson> members = List.of(
                    new StatusJson.MemberJson("entry-1", "ENTRY", "LIVE", "127.0.0.1", 8001),
                    new StatusJson.MemberJson("entry-2", "ENTRY", "LIVE", "127.0.0.1", 8002),
                    new StatusJson.MemberJson("agent-1", "AGENT", "LIVE", "127.0.0.1", 0));
            responses.add(
                    new StatusJson(instance, current, List.of(new StatusJson.VersionJson("drafts", version)), members));
        }
    }

    @Test
    void testPublishConflictsAndLostResponses() {
        run("check DIR/one.yaml");
        run("check DIR/bad.yaml");
        publish("none", "ana", "one.yaml");
        publish("none", "bruno", "two.yaml");
        log.failAppend(AppendFault.RESPONSE_LOST);
        publish("0", "bruno", "two.yaml");
        log.failAppend(AppendFault.DELAYED);
        publish("1", "ana", "one.yaml");
        log.storeDelayed();
        run("publish --log " + LOG + " --base 1 --operator ana --reason campaign --nonce nonce-3 DIR/one.yaml");
        publish("x", "ana", "one.yaml");
        publish("2", "ana", "missing.yaml");
        run("history --log " + LOG + " --team drafts");
        log.truncateBefore(1);
        publish("2", "ana", "two.yaml");
        run("history --log " + LOG);
        Approvals.verify(transcript());
    }

    @Test
    void testAuditDetectsRemovedAndChangedEntries() throws IOException {
        publish("none", "ana", "one.yaml");
        publish("0", "bruno", "two.yaml");
        publish("1", "ana", "one.yaml");
        run("audit --log " + LOG + " export DIR/audit.jsonl");
        run("audit verify DIR/audit.jsonl");
        Path file = directory.resolve("audit.jsonl");
        List<String> lines = Files.readAllLines(file);
        Files.write(file, List.of(lines.get(0), lines.get(1), lines.get(3), lines.get(4)));
        run("audit verify DIR/audit.jsonl");
        Files.write(
                file,
                List.of(lines.get(0), lines.get(1), lines.get(2).replace("bruno", "ana"), lines.get(3), lines.get(4)));
        run("audit verify DIR/audit.jsonl");
        run("audit --head 9:abc verify DIR/audit.jsonl");
        run("audit remove DIR/audit.jsonl");
        Approvals.verify(transcript());
    }

    @Test
    void testWatchReportsLaggingInstances() {
        addStatuses("127.0.0.1:8001", "entry-1", true, 3, 9);
        addStatuses("127.0.0.1:8002", "entry-2", false, 3, 3, 9);
        run("watch --entry 127.0.0.1:8001 --team drafts --at-least 9");
        run("status --entry 127.0.0.1:8001");
        statuses.remove("127.0.0.1:8002");
        run("watch --entry 127.0.0.1:8001 --team drafts --at-least 9 --timeout-seconds 2");
        run("status --entry 127.0.0.1:8001");
        run("status --entry 127.0.0.1:8009");
        Approvals.verify(transcript());
    }

    @Test
    void testInvalidCommandLinesReturnExitCodeTwo() {
        run("publish DIR/one.yaml");
        run("remove DIR/one.yaml");
        run("");
        assertEquals(3, transcript().split("exit 2", -1).length - 1);
    }

    @Test
    void testHelpAndVersionReturnExitCodeZero() {
        run("--help");
        run("--version");
        assertEquals(2, transcript().split("exit 0", -1).length - 1);
        assertTrue(transcript().contains("publish"));
    }
}
