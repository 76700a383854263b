package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.jasminehub.core.balance.AttemptEnd;
import org.jasminehub.gateway.call.AttemptFailed;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a part of a response that reaches a caller as a complete response: the response had no length, and its
 * connection broke while the request was still being written.
 */
final class TruncatedResponsesTest extends EarlyResponseFixture {
    private static final String PART = "first part";

    /** More than an entry instance buffers of one response. */
    private static final int LARGE_PART_BYTES = 300 << 10;

    /** More than the number of times that a call is sent. */
    private static final int MAX_SENDS = 4;

    private final CountDownLatch callerHasPart = new CountDownLatch(1);

    /** Returns a reply that resets the connection once the entry instance has read the part of the response. */
    private ScriptedEndpoint.Reply reset(String statusAndFields, String part) {
        return (request, socket) -> {
            ScriptedEndpoint.write(socket, head(request, statusAndFields) + part);
            awaitHeadsRead(1);
            return ScriptedEndpoint.reset().answer(request, socket);
        };
    }

    /** Returns a reply that resets the connection once the caller has what it is to get of the response. */
    private ScriptedEndpoint.Reply resetBehind(String statusAndFields, String part) {
        return (request, socket) -> {
            ScriptedEndpoint.write(socket, head(request, statusAndFields) + part);
            try {
                callerHasPart.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            return ScriptedEndpoint.reset().answer(request, socket);
        };
    }

    private List<AttemptFailed> failures() {
        return gateway.callEvents(ID).stream()
                .filter(AttemptFailed.class::isInstance)
                .map(AttemptFailed.class::cast)
                .toList();
    }

    private void assertFailedAsAfterAReset() {
        assertEquals(1, failures().size());
        assertEquals(AttemptEnd.MAY_HAVE_RUN, failures().get(0).end());
        assertEquals("CUT", failures().get(0).reason());
    }

    /** Responses that are delivered only once they are complete. */
    @Nested
    final class Buffered {
        @ParameterizedTest
        @ValueSource(strings = {"200 OK", "404 Not Found", "500 Error"})
        void testAnUnsafeCallFailsAndIsNotSentAgain(String status) throws Exception {
            serveWithBothEndpoints();
            script.add(reset(status, PART));

            String answer = gateway.exchange(upload("/unsafe/x"));

            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertFalse(answer.contains(PART), answer);
            assertEquals(1, requests());
            assertFailedAsAfterAReset();
        }

        @Test
        void testAResponseWithoutABodyFails() throws Exception {
            serveWithOneEndpoint();
            script.add(reset("200 OK", ""));

            String answer = gateway.exchange(upload("/unsafe/x"));

            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        }

        @Test
        void testASafeCallIsServedByAnotherEndpoint() throws Exception {
            serveWithBothEndpoints();
            script.add(reset("200 OK", PART));
            script.add((request, socket) -> {
                readUpload(socket);
                return ScriptedEndpoint.ok("done").answer(request, socket);
            });

            String answer = gateway.exchange(upload("/safe/x"));

            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("done"), answer);
            assertFalse(answer.contains(PART), answer);
            assertFailedAsAfterAReset();
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "503 Busy\r\nX-Not-Executed: 1",
                    "429 Busy\r\nX-Not-Executed: 1",
                    "421 Misdirected\r\nX-Instance-Id: e-1"
                })
        void testATruncatedRefusalIsNoPromise(String status) throws Exception {
            serveWithBothEndpoints();
            script.add(reset(status, PART));

            String answer = gateway.exchange(upload("/unsafe/x"));

            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertEquals(1, requests());
        }
    }

    /** Responses of which the caller has a part before the connection breaks. */
    @Nested
    final class Relayed {
        @Test
        void testALargeResponseIsBrokenOff() throws Exception {
            serveWithOneEndpoint();
            script.add(resetBehind("200 OK", "x".repeat(LARGE_PART_BYTES)));

            try (Socket caller = open(upload("/unsafe/x"))) {
                String begun = readUntil(caller, "xx");
                callerHasPart.countDown();
                String answer = begun + readRest(caller);

                assertTrue(answer.startsWith("HTTP/1.1 200"), begun);
                assertFalse(answer.endsWith(LAST_CHUNK), "complete for the caller");
            }
            assertEquals(1, requests());
        }

        @Test
        void testAStreamIsBrokenOff() throws Exception {
            serveWithOneEndpoint();
            script.add(resetBehind("200 OK\r\nContent-Type: text/event-stream", "id: 1\ndata: e1\n\n"));
            script.addAll(Collections.nCopies(MAX_SENDS, ScriptedEndpoint.reset()));

            try (Socket caller = open(upload("/stream/x"))) {
                String begun = readUntil(caller, "data: e1\n\n");
                callerHasPart.countDown();

                assertFalse(readRest(caller).endsWith(LAST_CHUNK), begun);
            }
        }

        @Test
        void testAStreamIsContinuedByAnotherEndpoint() throws Exception {
            serveWithBothEndpoints();
            script.add(resetBehind("200 OK\r\nContent-Type: text/event-stream", "id: 1\ndata: e1\n\n"));
            script.add((request, socket) -> {
                readUpload(socket);
                ScriptedEndpoint.write(
                        socket,
                        head(request, "200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 16")
                                + "id: 2\ndata: e2\n\n");
                return true;
            });

            try (Socket caller = open(upload("/stream/x"))) {
                String begun = readUntil(caller, "data: e1\n\n");
                callerHasPart.countDown();
                String answer = begun + readRest(caller);

                assertTrue(answer.contains("data: e2\n\n") && answer.endsWith(LAST_CHUNK), answer);
            }
        }

        @Test
        void testAResumedStreamIsBrokenOff() throws Exception {
            serveWithBothEndpoints();
            script.add((request, socket) -> {
                readUpload(socket);
                ScriptedEndpoint.write(
                        socket,
                        head(request, "200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 99")
                                + "id: 1\ndata: e1\n\n");
                return false;
            });
            script.add(resetBehind("200 OK\r\nContent-Type: text/event-stream", "id: 2\ndata: e2\n\n"));
            script.addAll(Collections.nCopies(MAX_SENDS, ScriptedEndpoint.reset()));

            try (Socket caller = open(upload("/stream/x"))) {
                String begun = readUntil(caller, "data: e2\n\n");
                callerHasPart.countDown();

                assertFalse(readRest(caller).endsWith(LAST_CHUNK), begun);
            }
        }
    }
}
