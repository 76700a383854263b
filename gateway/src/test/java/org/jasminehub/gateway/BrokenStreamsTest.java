package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.Collections;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jasminehub.gateway.call.CallEventKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a stream that broke off contains no byte of another response and does not end as complete. */
final class BrokenStreamsTest extends SilentStreamFixture {
    /** More than an entry instance buffers of one response. */
    private static final int LARGE_BODY_BYTES = 300 << 10;

    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** Two events, then the connection is closed without the final chunk. */
    private static final ScriptedEndpoint.Reply BREAKS_OFF = (request, socket) -> {
        head(request, socket);
        events(socket, 1, 2);
        return false;
    };

    /** Returns a reply that sends {@code text} with the id of the request and a signature in its head. */
    static ScriptedEndpoint.Reply signed(String statusAndHeaders, String body, boolean staysOpen) {
        return (request, socket) -> {
            ScriptedEndpoint.write(
                    socket,
                    "HTTP/1.1 " + statusAndHeaders + "\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                            + "\r\nX-Response-Signature: s\r\n\r\n" + body);
            return staysOpen;
        };
    }

    private static String chunked(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" + LAST_CHUNK;
    }

    /** Returns the body as the caller reads it, without the framing of the chunks. */
    private static String body(String answer) {
        return answer.replaceAll("(?s)^.*?\r\n\r\n", "").replaceAll("[0-9a-f]+\r\n|\r\n", "");
    }

    private static void assertBrokenOffAfter(int lastId, String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 200") && !answer.endsWith(LAST_CHUNK), answer);
        assertEvents(lastId, answer + LAST_CHUNK);
    }

    /** The response of the next endpoint while the caller has the head and two events. */
    @Nested
    final class NextResponse {
        private void assertNotJoined(ScriptedEndpoint.Reply next) throws IOException {
            serveWithBothEndpoints();
            script.add(BREAKS_OFF);
            script.addAll(Collections.nCopies(MAX_SENDS, next));

            assertBrokenOffAfter(2, gateway.exchange(stream(ID)));

            assertEquals(CallEventKind.CALL_REFUSED, ended().kind());
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "500 Error",
                    "503 Unavailable",
                    "503 Busy\r\nX-Not-Executed: 1",
                    "429 Busy\r\nX-Not-Executed: 1",
                    "400 Bad",
                    "304 Not Modified",
                    "302 Found"
                })
        void testAnErrorOfTheNextEndpointIsNotPartOfTheStream(String status) throws Exception {
            assertNotJoined(signed(
                    status + "\r\nContent-Type: text/event-stream\r\nContent-Length: 20",
                    "id: 3\ndata: failed\n\n",
                    true));
        }

        @ParameterizedTest
        @ValueSource(strings = {"500 Error", "429 Busy\r\nX-Not-Executed: 1"})
        void testAnErrorInChunksIsNotPartOfTheStream(String status) throws Exception {
            assertNotJoined(signed(status + "\r\nTransfer-Encoding: chunked", chunked("failed\n\n"), true));
        }

        @ParameterizedTest
        @ValueSource(strings = {"500 Error", "200 OK\r\nContent-Type: text/plain"})
        void testAnErrorThatEndsWithItsConnectionIsNotPartOfTheStream(String status) throws Exception {
            assertNotJoined(signed(status, "failed\n\n", false));
        }

        @Test
        void testAnErrorWithACutBodyIsNotPartOfTheStream() throws Exception {
            assertNotJoined(signed("500 Error\r\nContent-Length: 100", "failed\n\n", false));
        }

        @Test
        void testAnErrorWhoseHeadIsSplitIsNotPartOfTheStream() throws Exception {
            assertNotJoined((request, socket) -> {
                socket.setTcpNoDelay(true);
                for (String part : "HTTP/1.1 5|00 Err|or\r\nConte|nt-Length: 8\r\n|\r\nfai|led\n\n".split("\\|")) {
                    ScriptedEndpoint.write(socket, part);
                }
                return true;
            });
        }

        @Test
        void testAnErrorBehindAnInterimResponseIsNotPartOfTheStream() throws Exception {
            assertNotJoined((request, socket) -> {
                ScriptedEndpoint.write(socket, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
                return signed("500 Error\r\nContent-Length: 8", "failed\n\n", true)
                        .answer(request, socket);
            });
        }

        @Test
        void testBytesThatAreNoResponseAreNotPartOfTheStream() throws Exception {
            assertNotJoined((request, socket) -> {
                ScriptedEndpoint.write(socket, "id: 3\ndata: e3\n\n");
                return false;
            });
        }

        @Test
        void testAResponseWithoutASignatureIsNotPartOfTheStream() throws Exception {
            assertNotJoined((request, socket) -> {
                ScriptedEndpoint.write(
                        socket,
                        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\n"
                                + "id: 3\ndata: e3\n\n");
                return true;
            });
        }

        @ParameterizedTest
        @CsvSource({
            "text/plain,'failed\n\n'",
            "text/html,'<html>\n\n</html>\n\n'",
            "application/json,'{\n\n}\n\n'",
            "text/html,''",
            "text/event-stream,'failed\n\n'",
            "text/event-stream,'event: error\ndata: failed\n\n'",
            "text/event-stream,'id: 9\ndata: e9\n\n'",
            "text/event-stream,'id: 1\ndata: e1\n\n'",
            "text/event-stream,'failed'",
        })
        void testASignedResponseThatDoesNotContinueTheStreamIsNotPartOfIt(String type, String text) throws Exception {
            assertNotJoined(
                    signed("200 OK\r\nContent-Type: " + type + "\r\nContent-Length: " + text.length(), text, true));
        }

        @Test
        void testAStreamIsNotCompletedByAResponseWithoutContent() throws Exception {
            assertNotJoined(signed("204 No Content", "", true));
        }

        @Test
        void testAStreamWhoseNextEndpointRefusesConnectionsIsNotCompleted() throws Exception {
            serveWithBothEndpoints();
            script.add((request, socket) -> {
                endpointOne.close();
                endpointTwo.close();
                return BREAKS_OFF.answer(request, socket);
            });

            assertBrokenOffAfter(2, gateway.exchange(stream(ID)));
        }

        @Test
        void testEventsWithoutIdsBeforeTheNextOneAreNotPartOfTheStream() throws Exception {
            serveWithBothEndpoints();
            script.add(BREAKS_OFF);
            script.add((request, socket) -> {
                head(request, socket);
                text(socket, ": ping\n\n");
                text(socket, "event: begin\ndata: {}\n\n");
                events(socket, 3, 4);
                return end(socket);
            });

            assertEvents(4, gateway.exchange(stream(ID)));
        }

        @Test
        void testAStreamIsCompletedByANextResponseWithoutFurtherEvents() throws Exception {
            serveWithBothEndpoints();
            script.add(BREAKS_OFF);
            script.add((request, socket) -> {
                head(request, socket);
                text(socket, ": ping\n\n");
                return end(socket);
            });

            assertEvents(2, gateway.exchange(stream(ID)));
        }
    }

    /** Responses that no other endpoint can continue, because their position is not known or they are no stream. */
    @Nested
    final class NotContinuable {
        private static final String UNNUMBERED = "data: a\n\n";

        private ScriptedEndpoint.Reply unnumbered() {
            return (request, socket) -> {
                head(request, socket);
                text(socket, UNNUMBERED);
                return false;
            };
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "Last-Event-Id: 2\r\n"})
        void testAStreamWithoutIdsIsNotJoinedWithAnotherRun(String header) throws Exception {
            serveWithBothEndpoints();
            script.add(unnumbered());
            script.add(unnumbered());

            String answer = gateway.exchange(stream(ID).replaceFirst("\r\n", "\r\n" + header));

            assertEquals(UNNUMBERED, body(answer));
            assertFalse(answer.endsWith(LAST_CHUNK), answer);
            assertEquals(1, requests());
        }

        @Test
        void testAStreamThatBreaksOffWithAnErrorEventIsNotContinued() throws Exception {
            serveWithBothEndpoints();
            script.add((request, socket) -> {
                head(request, socket);
                events(socket, 1, 2);
                text(socket, "event: error\ndata: failed\n\n");
                return false;
            });
            script.add((request, socket) -> {
                head(request, socket);
                events(socket, 3, 4);
                return end(socket);
            });

            String answer = gateway.exchange(stream(ID));

            assertTrue(body(answer).endsWith("data: e2\n\nevent: error\ndata: failed\n\n"), answer);
            assertFalse(answer.endsWith(LAST_CHUNK), answer);
        }

        @ParameterizedTest
        @ValueSource(strings = {"404 Not Found", "500 Error"})
        void testAnErrorThatIsCutHasNoEventsOfTheNextEndpoint(String status) throws Exception {
            serveWithBothEndpoints();
            String large = "x".repeat(LARGE_BODY_BYTES);
            script.add(signed(status + "\r\nContent-Length: " + (LARGE_BODY_BYTES + 32), large, false));
            script.add((request, socket) -> {
                head(request, socket);
                events(socket, 1, 4);
                return end(socket);
            });

            String answer = gateway.exchange(stream(ID));

            assertTrue(answer.startsWith("HTTP/1.1 " + status) && !answer.contains("data:"), status);
        }
    }

    /** How the end of a response without a length is read. */
    @Nested
    final class EndsWithItsConnection {
        private ScriptedEndpoint.Reply unframed(String text, boolean isReset) {
            return (request, socket) -> {
                signed("200 OK\r\nContent-Type: text/event-stream", text, true).answer(request, socket);
                if (isReset) {
                    socket.setSoLinger(true, 0);
                }
                return false;
            };
        }

        @Test
        void testAStreamWithoutLengthThatEndsInsideAnEventIsContinued() throws Exception {
            serveWithBothEndpoints();
            script.add(unframed("id: 1\ndata: e1\n\nid: 2\nda", false));
            script.add(unframed("id: 2\ndata: e2\n\n", false));

            // The end of a connection without a reset is the end of a response without a length.
            assertEvents(2, gateway.exchange(stream(ID)));
            assertEquals(2, requests());
        }

        @Test
        void testAStreamWithoutLengthThatIsResetIsNotComplete() throws Exception {
            serveWithBothEndpoints();
            script.add((request, socket) -> {
                signed("200 OK\r\nContent-Type: text/event-stream", "id: 1\ndata: e1\n\n", true)
                        .answer(request, socket);
                GatewayHarness.await(BrokenStreamsTest.this::isFirstEventRead);
                socket.setSoLinger(true, 0);
                return false;
            });
            script.addAll(Collections.nCopies(MAX_SENDS, ScriptedEndpoint.reset()));

            try (Socket caller = open(stream(ID))) {
                readUntil(caller, "data: e1\n\n");
                isFirstEventRead.set(true);
                assertFalse(GatewayHarness.readAll(caller.getInputStream()).endsWith(LAST_CHUNK));
            }
        }
    }

    private final AtomicBoolean isFirstEventRead = new AtomicBoolean();

    private boolean isFirstEventRead() {
        return isFirstEventRead.get();
    }

    private static String readUntil(Socket caller, String text) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf(text) < 0) {
            int value = caller.getInputStream().read();
            assertTrue(value >= 0, read.toString());
            read.append((char) value);
        }
        return read.toString();
    }

    /** What ends a call whose head has been sent, and the caller's connection after it. */
    @Nested
    final class CallEnds {
        @Test
        void testARequestBehindABrokenStreamIsNotAnsweredOnItsConnection() throws Exception {
            serveWithOneEndpoint();
            script.add(BREAKS_OFF);
            script.addAll(Collections.nCopies(MAX_SENDS, signed("500 Error\r\nContent-Length: 6", "failed", true)));

            try (Socket caller = gateway.connect()) {
                ScriptedEndpoint.write(caller, stream(ID) + safe("r-2"));
                assertBrokenOffAfter(2, GatewayHarness.readAll(caller.getInputStream()));
            }

            assertTrue(gateway.callEvents("r-2").isEmpty());
        }

        @Test
        void testACallerThatReadsNoChunksGetsNoStream() throws Exception {
            serveWithOneEndpoint();

            String answer = gateway.exchange(stream(ID).replace("HTTP/1.1", "HTTP/1.0"));

            assertTrue(answer.startsWith("HTTP/1.1 400"), answer);
            assertEquals(0, requests());
        }

        @Test
        void testAStreamIsNotCompletedByTheEndOfTheProcess() throws Exception {
            serveWithOneEndpoint();
            script.add(silentAfter(2));

            try (Socket caller = open(stream(ID))) {
                String begun = readUntil(caller, "data: e2\n\n\r\n");
                gateway.entry().stop();
                assertBrokenOffAfter(2, begun + GatewayHarness.readAll(caller.getInputStream()));
            }
        }

        @Test
        void testAStreamIsNotCompletedWhenNoEndpointHasCapacityForTheRest() throws Exception {
            serveWithOneEndpoint();
            script.add((request, socket) -> {
                gateway.store().put("keyed.servers", "e-1", "");
                GatewayHarness.await(() -> !gateway.entry().knowsEndpoint("e-1", false));
                return BREAKS_OFF.answer(request, socket);
            });

            assertBrokenOffAfter(2, gateway.exchange(stream(ID)));

            assertEquals(1, requests());
        }
    }
}
