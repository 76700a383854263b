package org.jasminehub.app.operations;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.jasminehub.app.ProcessRuntime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class BookingFailureTest {
    private static final String HOME = "bookings-1";
    private static final String OTHER = "bookings-2";

    private final String body = "{\"trip\":\"" + UUID.randomUUID() + "\"}";
    private ProcessRuntime runtime;
    private BookingSystem system;

    @BeforeEach
    void start() {
        runtime = new ProcessRuntime("test");
        system = new BookingSystem(runtime);
    }

    @AfterEach
    void stop() {
        system.close();
        runtime.close();
    }

    private void assertOutcome(String outcome, HttpResponse<String> response) {
        assertTrue(response.body().contains("\"outcome\":\"" + outcome + "\""), response.body());
        if (outcome.equals("not-run")) {
            assertEquals(0, system.runCount(body));
        }
    }

    private void assertDone(HttpResponse<String> response) {
        assertEquals(201, response.statusCode(), response.body());
        assertEquals(1, system.runCount(body));
    }

    private CompletableFuture<HttpResponse<String>> bookAndAwaitRun(int entry, String key) {
        system.bookings.holdResponses();
        CompletableFuture<HttpResponse<String>> response = system.postAsync(entry, key, body);
        BookingSystem.await(() -> system.runCount(body) == 1);
        return response;
    }

    /**
     * Waits until the agent has noticed that its idle connections to the service are closed. A call that it sends on one
     * of them fails after it was sent, so that its outcome is unknown.
     */
    private void awaitRefusedConnections() {
        BookingSystem.await(() -> system.post(1, system.keyWithHome(HOME), "{\"trip\":\"down\"}")
                .body()
                .contains("\"outcome\":\"not-run\""));
    }

    private void killHome() {
        system.agents.get(HOME).close();
    }

    @Nested
    final class Agents {
        @Test
        void testHomeKilledBeforeRunIsReportedAsUnknown() {
            String key = system.keyWithHome(HOME);
            killHome();
            assertOutcome("unknown", system.post(1, key, body));
            assertOutcome("unknown", system.post(2, key, body));
            assertEquals(0, system.runCount(body));
        }

        @Test
        void testHomeKilledDuringRunLeavesOneRunAfterHomeChangeAndRestart() {
            String key = system.keyWithHome(HOME);
            CompletableFuture<HttpResponse<String>> first = bookAndAwaitRun(1, key);
            long epoch = system.epoch();
            killHome();
            assertOutcome("unknown", first.join());
            assertOutcome("unknown", system.post(2, key, body));
            system.awaitHomeTable(epoch, 1);
            assertOutcome("unknown", system.post(2, key, body));
            system.startAgent(HOME);
            system.awaitHomeTable(epoch + 1, 2);
            assertOutcome("unknown", system.post(2, key, body));
            assertEquals(1, system.runCount(body));
        }

        @Test
        void testHomeKilledAfterRunLeavesOneRun() {
            String key = system.keyWithHome(HOME);
            assertDone(system.post(1, key, body));
            killHome();
            assertOutcome("unknown", system.post(2, key, body));
            assertEquals(1, system.runCount(body));
        }

        @Test
        void testDrainedHomeHandsOverItsKeys() {
            String done = system.keyWithHome(HOME);
            String fresh = system.keyWithHome(HOME);
            HttpResponse<String> first = system.post(1, done, body);
            assertDone(first);
            long epoch = system.epoch();
            system.agents.get(HOME).leave();
            system.awaitHomeTable(epoch, 1);
            BookingSystem.await(() -> system.post(2, done, body).statusCode() == 201);
            assertEquals(first.body(), system.post(2, done, body).body());
            assertEquals(1, system.runCount(body));
            assertEquals(201, system.post(2, fresh, "{\"after\":\"handover\"}").statusCode());
        }
    }

    @Nested
    final class Services {
        @Test
        void testServiceThatIsDownIsReportedAsNotRun() {
            String key = system.keyWithHome(HOME);
            system.bookings.close();
            awaitRefusedConnections();
            assertOutcome("not-run", system.post(1, key, body));
            assertOutcome("not-run", system.post(2, key, body));
        }

        @Test
        void testServiceKilledDuringRunIsUnknownForEveryRetry() {
            String key = system.keyWithHome(HOME);
            CompletableFuture<HttpResponse<String>> first = bookAndAwaitRun(1, key);
            system.bookings.closeWithoutResponding();
            assertOutcome("unknown", first.join());
            assertOutcome("unknown", system.post(2, key, body));
            assertEquals(1, system.runCount(body));
        }
    }

    @Nested
    final class EntryInstances {
        @Test
        void testRetryAfterEntryKilledDuringRunJoinsTheRun() {
            String key = system.keyWithHome(HOME);
            CompletableFuture<HttpResponse<String>> first = bookAndAwaitRun(1, key);
            system.entries.get(0).close();
            assertThrows(CompletionException.class, first::join);
            CompletableFuture<HttpResponse<String>> retry = system.postAsync(2, key, body);
            system.bookings.releaseResponses();
            assertDone(retry.join());
        }

        @Test
        void testRetryAfterEntryKilledAfterRunReturnsItsResult() {
            String key = system.keyWithHome(OTHER);
            HttpResponse<String> first = system.post(1, key, body);
            system.entries.get(0).close();
            HttpResponse<String> retry = system.post(2, key, body);
            assertDone(retry);
            assertEquals(first.body(), retry.body());
        }

        @Test
        void testRequestRunsAfterOtherEntryIsKilled() {
            system.entries.get(0).close();
            assertDone(system.post(2, system.keyWithHome(HOME), body));
        }

        @Test
        void testConcurrentRequestsWithOneKeyRunOnce() {
            String key = system.keyWithHome(HOME);
            CompletableFuture<HttpResponse<String>> first = system.postAsync(1, key, body);
            CompletableFuture<HttpResponse<String>> second = system.postAsync(2, key, body);
            assertEquals(first.join().body(), second.join().body());
            assertDone(second.join());
        }

        @Test
        void testSameKeyWithAnotherBodyIsRefused() {
            String key = system.keyWithHome(HOME);
            system.post(1, key, "{\"trip\":\"another\"}");
            HttpResponse<String> response = system.post(2, key, body);
            assertEquals(422, response.statusCode());
            assertOutcome("not-run", response);
        }
    }

    @Nested
    final class LogOutages {
        @Test
        void testBookingsRunWhileLogIsDown() {
            system.log.setDown(true);
            String key = system.keyWithHome(HOME);
            assertDone(system.post(1, key, body));
            assertDone(system.post(2, key, body));
        }

        @Test
        void testIssuedKeyRunsWhileLogAndOneHomeAreDown() {
            system.log.setDown(true);
            killHome();
            BookingSystem.await(() -> !system.issueKey(1).contains(HOME));
            String key = system.issueKey(1);
            assertDone(system.post(1, key, body));
            assertDone(system.post(2, key, body));
            assertOutcome("unknown", system.post(1, system.keyWithHome(HOME), "{\"trip\":\"homeless\"}"));
            assertEquals(0, system.runCount("{\"trip\":\"homeless\"}"));
        }
    }
}
