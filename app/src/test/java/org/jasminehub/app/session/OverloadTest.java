package org.jasminehub.app.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jasminehub.app.ProcessRuntime;
import org.jasminehub.app.demo.Demo;
import org.jasminehub.standin.EngineStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
final class OverloadTest {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int FLOOD_REQUESTS = 300;
    private static final int OTHER_REQUESTS = 5;

    private final HttpClient client = HttpClient.newHttpClient();
    private ProcessRuntime runtime;
    private Demo demo;

    @BeforeEach
    void start() {
        runtime = new ProcessRuntime("test");
        demo = new Demo(runtime, 0);
        demo.awaitReady();
    }

    @AfterEach
    void stop() {
        demo.close();
        runtime.close();
    }

    private CompletableFuture<HttpResponse<String>> send(String workspace, int entry, int tokens) {
        String body = "{\"model\":\"campaign-text\",\"stream\":false,\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"tell\"}]}";
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + demo.entryAddresses().get(entry) + "/v1/chat/completions"))
                .header("X-Workspace", workspace)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private List<CompletableFuture<HttpResponse<String>>> send(String workspace, int count) {
        List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sent.add(send(workspace, i % demo.entryAddresses().size(), 20));
        }
        return sent;
    }

    private int startedRequests() {
        return demo.engines().stream().mapToInt(EngineStandin::startedRequests).sum();
    }

    @Test
    void testFloodOfOneWorkspaceIsRejectedAndOtherWorkspaceIsServed() {
        List<CompletableFuture<HttpResponse<String>>> flood = send("brand-managers", FLOOD_REQUESTS);
        List<CompletableFuture<HttpResponse<String>>> others = send("cooperative", OTHER_REQUESTS);
        int served = OTHER_REQUESTS;
        for (CompletableFuture<HttpResponse<String>> pendingResponse : others) {
            assertEquals(200, pendingResponse.join().statusCode());
        }
        for (CompletableFuture<HttpResponse<String>> pendingResponse : flood) {
            HttpResponse<String> response = pendingResponse.join();
            served += response.statusCode() == 200 ? 1 : 0;
            if (response.statusCode() != 200) {
                assertEquals(TOO_MANY_REQUESTS, response.statusCode());
                assertTrue(response.headers().firstValueAsLong("Retry-After").orElse(0) >= 1);
                assertTrue(response.body().contains("not-run"));
            }
        }
        assertTrue(served < FLOOD_REQUESTS, "served " + served);
        assertEquals(served, startedRequests());
    }

    @Test
    void testRequestThatCannotMeetItsDeadlineIsRejectedByTheAgent() {
        // Half of 8000 tokens, at 20 ms each, take longer than the route's deadline of 60 s.
        HttpResponse<String> response = send("brand-managers", 0, 8000).join();
        assertEquals(UNAVAILABLE, response.statusCode());
        assertTrue(response.body().contains("deadline-unreachable"), response.body());
        assertTrue(response.body().contains("not-run"), response.body());
        assertTrue(response.headers().firstValueAsLong("Retry-After").orElse(0) >= 1);
        assertEquals(0, startedRequests());
    }
}
