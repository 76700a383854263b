package org.jasminehub.app.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import org.jasminehub.app.ProcessRuntime;
import org.jasminehub.app.demo.Demo;
import org.jasminehub.standin.EngineStandin;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

final class EndToEndTest {
    private static final String CHAT = "/v1/chat/completions";
    private static final String[] WORKSPACE = {"X-Workspace", "brand-managers"};

    private static ProcessRuntime runtime;
    private static Demo demo;

    @BeforeAll
    static void startDemo() {
        runtime = new ProcessRuntime("test");
        demo = new Demo(runtime, 0);
        demo.awaitReady();
    }

    @AfterAll
    static void stopDemo() {
        demo.close();
        runtime.close();
    }

    private static SessionRecorder session() {
        return new SessionRecorder(demo.entryAddresses().get(0));
    }

    private static String chat(String prompt, boolean stream, int tokens) {
        return "{\"model\":\"campaign-text\",\"stream\":" + stream + ",\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
    }

    @Test
    void testStreamIsRelayedEventByEvent() {
        SessionRecorder session = session();
        session.post(CHAT, chat("draft a caption", true, 4), WORKSPACE);
        session.verify();
    }

    @Test
    void testBufferedResponseIsRelayedComplete() {
        SessionRecorder session = session();
        session.post(CHAT, chat("summarize the brief", false, 12), WORKSPACE);
        session.verify();
    }

    @Test
    void testBadInputGetsTypedErrors() {
        SessionRecorder session = session();
        session.post(CHAT, "{", WORKSPACE);
        session.post(CHAT, "{\"messages\":[]}", WORKSPACE);
        session.post(CHAT, chat("x", true, 0), WORKSPACE);
        session.post(CHAT, chat("x", true, 4));
        session.post(CHAT, chat("x", true, 4), "X-Workspace", "nobody");
        session.post("/services/unknown/trips", "{}", WORKSPACE);
        session.post("/services/bookings/trips", "{}", WORKSPACE);
        session.get("/v1/addresses");
        session.get("/nothing");
        session.verify();
    }

    @Test
    void testBodyOverTheLimitIsRefused() {
        HttpResponse<String> response = session().post(CHAT, chat("x".repeat(2 * 1024 * 1024), false, 4), WORKSPACE);
        assertEquals(413, response.statusCode());
        assertTrue(response.body().contains("request-too-large"));
    }

    @Test
    void testStreamLargerThanCreditIsRelayedComplete() {
        int tokens = 200;
        HttpResponse<String> response = session().post(CHAT, chat("long", true, tokens), WORKSPACE);
        long events = response.body()
                .lines()
                .filter(line -> line.startsWith("data: {"))
                .count();
        assertEquals(tokens, events);
        assertTrue(response.body().endsWith("data: [DONE]\n\n"));
    }

    @Test
    void testResponseIsThatOfTheEngine() {
        HttpResponse<String> response = session().post(CHAT, chat("tide", false, 6), WORKSPACE);
        assertTrue(response.body().contains(EngineStandin.textOf("tide", 6)));
    }
}
