package org.jasminehub.app.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.jasminehub.app.ProcessRuntime;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.MemberState;
import org.jasminehub.core.membership.Target;
import org.jasminehub.platform.http.Address;
import org.jasminehub.standin.EngineStandin;
import org.jasminehub.standin.InstanceListStandin;
import org.jasminehub.standin.LogStandin;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class SeparateProcessesTest {
    private static final Target MODEL = Target.model("campaign-text");
    private static final long POLL_NANOS = 20_000_000;

    @TempDir
    Path directory;

    private Path write(String name, String text) throws IOException {
        return Files.writeString(directory.resolve(name), text);
    }

    private static Member agentAt(int wirePort) {
        return new Member(
                new InstanceId("text-1"),
                MemberRole.AGENT,
                MemberState.LIVE,
                new FailureDomain("sul-a"),
                "127.0.0.1",
                wirePort,
                0,
                List.of(MODEL));
    }

    private static HttpResponse<String> get(int port, String path) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static HttpResponse<String> chat(int port) throws IOException, InterruptedException {
        String body = "{\"model\":\"campaign-text\",\"stream\":true,\"max_tokens\":5,"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"draft\"}]}";
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/v1/chat/completions"))
                .header("X-Workspace", "brand-managers")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void testRequestPassesThroughProcessesStartedWithSettingsFiles() throws Exception {
        try (ProcessRuntime runtime = new ProcessRuntime("test");
                LogStandin log = new LogStandin(runtime.system(), 0);
                InstanceListStandin list = new InstanceListStandin(runtime.system(), 0);
                EngineStandin engine = new EngineStandin(runtime.system(), 0, 0, 16)) {
            DemoDocument.publishTo(log);
            Path agentSettings = write("agent.yaml", Settings.agent("text-1", MODEL, engine.address()));
            Path entrySettings = write("entry.yaml", Settings.entry("entry-1", log.address(), list.address()));
            try (SystemProcess agent = SystemProcess.start("agent", agentSettings, directory.resolve("agent.log"));
                    SystemProcess entry = SystemProcess.start("entry", entrySettings, directory.resolve("entry.log"))) {
                list.put(agentAt(agent.port()));
                while (get(entry.operationsPort(), "/readyz").statusCode() != 200
                        || chat(entry.port()).statusCode() != 200) {
                    LockSupport.parkNanos(POLL_NANOS);
                }
                assertTrue(chat(entry.port()).body().endsWith("data: [DONE]\n\n"));
                assertEquals(200, get(agent.operationsPort(), "/livez").statusCode());
                assertTrue(get(entry.operationsPort(), "/metrics").body().contains("entry_requests_STREAM_count"));
                assertTrue(get(agent.operationsPort(), "/metrics").body().contains("agent_calls_ANSWERED_total"));
                entry.stop();
                agent.stop();
            }
        }
    }

    @Nested
    final class BadSettings {
        @Test
        void testUnknownKeyStopsTheStartWithExitCodeTwo() throws IOException {
            Address endpoint = new Address("127.0.0.1", 1);
            Path file = write("agent.yaml", Settings.agent("text-1", MODEL, endpoint) + "colour: red\n");
            Path output = directory.resolve("output.txt");
            assertEquals(2, SystemProcess.run(output, "agent", "--settings", file.toString()));
            String text = Files.readString(output);
            assertTrue(text.contains("agent.yaml") && text.contains("line 9, colour"), text);
        }

        @Test
        void testValueOutOfRangeIsReportedWithExpectedRange() throws IOException {
            String good = Settings.agent("text-1", MODEL, new Address("127.0.0.1", 1));
            Path file = write("agent.yaml", good.replace("loadIntervalMillis: 100", "loadIntervalMillis: 5"));
            Path output = directory.resolve("output.txt");
            assertEquals(2, SystemProcess.run(output, "agent", "--settings", file.toString()));
            String text = Files.readString(output);
            assertTrue(text.contains("loadIntervalMillis") && text.contains("from 50"), text);
        }

        @Test
        void testMissingFileIsReported() throws IOException {
            Path output = directory.resolve("output.txt");
            assertEquals(2, SystemProcess.run(output, "entry", "--settings", "absent.yaml"));
            assertTrue(Files.readString(output).contains("absent.yaml"));
        }
    }
}
