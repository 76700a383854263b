package org.jasminehub.app.session;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.jasminehub.agent.Agent;
import org.jasminehub.agent.AgentSettings;
import org.jasminehub.app.ProcessRuntime;
import org.jasminehub.app.demo.DemoDocument;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.MemberState;
import org.jasminehub.core.membership.Target;
import org.jasminehub.entry.EntryInstance;
import org.jasminehub.entry.EntrySettings;
import org.jasminehub.runtime.log.EventLog;
import org.jasminehub.standin.InstanceListStandin;
import org.jasminehub.standin.LogStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests an entry instance and an agent in front of an engine whose responses have no end or break off. */
@Timeout(120)
final class FaultyEngineTest {
    private static final String HOST = "127.0.0.1";
    private static final Target MODEL = Target.model("campaign-text");
    private static final long POLL_NANOS = 5_000_000;

    private final HttpClient client = HttpClient.newHttpClient();
    private ProcessRuntime runtime;
    private LogStandin log;
    private InstanceListStandin list;
    private RawEngine engine;
    private Agent agent;
    private EntryInstance entry;

    @BeforeEach
    void start() throws IOException {
        runtime = new ProcessRuntime("test");
        log = new LogStandin(runtime.system(), 0);
        list = new InstanceListStandin(runtime.system(), 0);
        engine = new RawEngine();
        log.append(DemoDocument.firstRecord(
                DemoDocument.text().replaceAll("requestsPerSecond: \\d+", "requestsPerSecond: 100000")));
        agent = new Agent(
                new AgentSettings("agent-1", "sul-a", HOST, 0, 0, MODEL, engine.address(), 100),
                runtime.system(),
                runtime.group(),
                runtime.clock(),
                new EventLog("agent-1"),
                runtime.metrics());
        list.put(member("agent-1", MemberRole.AGENT, agent.wirePort(), 0, List.of(MODEL)));
        entry = new EntryInstance(
                new EntrySettings(
                        "entry-1", "sul-a", HOST, 0, 0, 0, log.address(), list.address(), 100, 500, 1_048_576),
                runtime.system(),
                runtime.group(),
                () -> new RequestId(UUID.randomUUID().toString()),
                runtime.clock(),
                new EventLog("entry-1"),
                runtime.metrics());
        list.put(member("entry-1", MemberRole.ENTRY, entry.wirePort(), entry.callerPort(), List.of()));
        engine.replyWith(socket -> RawEngine.write(socket, "HTTP/1.1 204 No Content\r\n\r\n"));
        await(() -> send(false).startsWith("204"));
    }

    @AfterEach
    void stop() throws IOException {
        entry.close();
        agent.close();
        engine.close();
        list.close();
        log.close();
        runtime.close();
    }

    private static Member member(String name, MemberRole role, int wirePort, int callerPort, List<Target> serves) {
        return new Member(
                new InstanceId(name),
                role,
                MemberState.LIVE,
                new FailureDomain("sul-a"),
                HOST,
                wirePort,
                callerPort,
                serves);
    }

    private static void await(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    /** Returns the status and the body of the response to a call, or "cut" if it is incomplete. */
    private String send(boolean isStream) {
        String body = "{\"model\":\"campaign-text\",\"stream\":" + isStream
                + ",\"max_tokens\":4,\"messages\":[{\"role\":\"user\",\"content\":\"tell\"}]}";
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + HOST + ":" + entry.callerPort() + "/v1/chat/completions"))
                .header("X-Workspace", "brand-managers")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            return response.statusCode() + " " + response.body();
        } catch (IOException e) {
            return "cut";
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against responses without end that an instance keeps until its memory is used up. */
    @Nested
    final class WithoutEnd {
        private static final long OFFERED_BYTES = 256L << 20;

        /** Far more than the buffers and limits of all processes, far less than what is offered. */
        private static final long MAX_ACCEPTED_BYTES = 64L << 20;

        private static final int PIECE_BYTES = 64 << 10;

        private final AtomicLong accepted = new AtomicLong();

        private void replyWithoutEnd(String head, String filler) {
            byte[] piece = filler.repeat(PIECE_BYTES / filler.length()).getBytes(StandardCharsets.UTF_8);
            engine.replyWith(socket -> {
                RawEngine.write(socket, head);
                while (accepted.get() < OFFERED_BYTES) {
                    socket.getOutputStream().write(piece);
                    accepted.addAndGet(piece.length);
                }
            });
        }

        private void assertBounded(String answer) {
            assertFalse(answer.startsWith("2"), () -> answer.substring(0, Math.min(answer.length(), 200)));
            assertTrue(accepted.get() < MAX_ACCEPTED_BYTES, accepted + " bytes accepted");
        }

        private void assertABufferedCallFails(String framing, String filler) {
            replyWithoutEnd("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + framing + "\r\n", filler);

            String answer = send(false);

            assertBounded(answer);
            assertTrue(answer.startsWith("502") && answer.contains("\"outcome\":\"unknown\""), answer);
        }

        @Test
        void testABodyWithoutEndFailsACallThatIsBuffered() {
            assertABufferedCallFails("", "0123456789");
        }

        @Test
        void testChunksWithoutEndFailACallThatIsBuffered() {
            assertABufferedCallFails("Transfer-Encoding: chunked\r\n", "4000\r\n" + "x".repeat(0x4000) + "\r\n");
        }

        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void testAHeadWithoutEndFailsTheCall(boolean isStream) {
            replyWithoutEnd("HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789\r\n");

            assertBounded(send(isStream));
        }

        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void testBytesThatAreNoResponseFailTheCall(boolean isStream) {
            replyWithoutEnd("", "0123456789");

            assertBounded(send(isStream));
        }

        @ParameterizedTest
        @ValueSource(strings = {"0123456789", "data: 0123456789\n"})
        void testAnEventWithoutEndFailsTheStream(String filler) {
            replyWithoutEnd("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", filler);

            String answer = send(true);

            assertFalse(answer.contains("[DONE]"), answer);
            assertTrue(accepted.get() < MAX_ACCEPTED_BYTES, accepted + " bytes accepted");
        }
    }

    /** Guards against a head that breaks off and reaches the caller as a whole response. */
    @Nested
    final class BreaksOff {
        @ParameterizedTest
        @CsvSource({
            "false,'Content-Length: 11\r\n'",
            "false,'Transfer-Encoding: chunked\r\n'",
            "false,''",
            "true,'Transfer-Encoding: chunked\r\n'",
            "true,''",
        })
        void testAHeadThatBreaksOffIsNoSuccess(boolean isStream, String framing) {
            String type = isStream ? "text/event-stream" : "application/json";
            String head = "HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\n" + framing + "\r\n";
            for (int length = 0; length < head.length(); length++) {
                String part = head.substring(0, length);
                engine.replyWith((Socket socket) -> RawEngine.write(socket, part));

                String answer = send(isStream);

                assertFalse(answer.startsWith("2"), "head of " + length + " bytes: " + answer);
                assertNotEquals("", answer);
            }
        }
    }
}
