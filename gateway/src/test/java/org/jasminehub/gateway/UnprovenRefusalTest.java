package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against calls that an endpoint ran and that are answered with a status that promises "not run", because the
 * endpoint responded with that status without stating that it did not run the call.
 */
final class UnprovenRefusalTest extends GatewayFixture {
    /** More than an entry instance buffers of one response. */
    private static final int LARGE_BODY_BYTES = 300 << 10;

    private static final int CHUNK_BYTES = 4 << 10;

    /** More than the number of times that a call is sent. */
    private static final int MAX_SENDS = 4;

    private static final List<Integer> PROMISES = List.of(408, 429, 503);

    /** How the end of a body is stated. */
    enum Framing {
        LENGTH,
        CHUNKS,
        CLOSE
    }

    /** A response with a promise that is not proven. */
    private record Unproven(int status, Framing framing, int bodyBytes) {
        ScriptedEndpoint.Reply reply() {
            return response(status + " Failed", framing, bodyBytes);
        }
    }

    /** Returns responses of each framing, with a body that is buffered and with one that is not. */
    private static List<Unproven> unproven(List<Integer> statuses) {
        List<Unproven> responses = new ArrayList<>();
        for (int status : statuses) {
            for (Framing framing : Framing.values()) {
                responses.add(new Unproven(status, framing, 2));
                responses.add(new Unproven(status, framing, LARGE_BODY_BYTES));
            }
        }
        return responses;
    }

    private static ScriptedEndpoint.Reply response(String statusAndHeaders, Framing framing, int bodyBytes) {
        return (request, socket) -> {
            String headers = "HTTP/1.1 " + statusAndHeaders + "\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                    + "\r\nX-Response-Signature: s\r\n";
            String body = "x".repeat(bodyBytes);
            switch (framing) {
                case LENGTH ->
                    ScriptedEndpoint.write(socket, headers + "Content-Length: " + bodyBytes + "\r\n\r\n" + body);
                case CLOSE -> ScriptedEndpoint.write(socket, headers + "\r\n" + body);
                default -> {
                    StringBuilder chunks = new StringBuilder();
                    for (int sent = 0; sent < bodyBytes; sent += CHUNK_BYTES) {
                        int length = Math.min(CHUNK_BYTES, bodyBytes - sent);
                        chunks.append(Integer.toHexString(length))
                                .append("\r\n")
                                .append(body, 0, length)
                                .append("\r\n");
                    }
                    ScriptedEndpoint.write(
                            socket, headers + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n");
                }
            }
            return framing != Framing.CLOSE;
        };
    }

    private void assertNoPromise(String request) throws Exception {
        assertNoPromise(request, "");
    }

    private void assertNoPromise(String request, String response) throws Exception {
        String answer = gateway.exchange(request);

        assertTrue(
                answer.startsWith("HTTP/1.1 502"),
                response + " is answered " + answer.substring(0, Math.min(answer.length(), 200)));
    }

    /** Responses to calls of each kind of route. */
    @Nested
    final class Routes {
        @Test
        void testAnUnsafeCallThatRanIsNotAnsweredWithAPromise() throws Exception {
            serveWithBothEndpoints();
            List<Unproven> responses = unproven(PROMISES);
            for (Unproven response : responses) {
                script.add(response.reply());

                assertNoPromise(unsafe("r-" + responses.indexOf(response)), response.toString());
            }
            assertEquals(responses.size(), requests());
        }

        @ParameterizedTest
        @ValueSource(ints = {408, 429, 503})
        void testAStreamThatRanIsNotAnsweredWithAPromise(int status) throws Exception {
            serveWithBothEndpoints();
            List<Unproven> responses = unproven(List.of(status));
            for (Unproven response : responses) {
                script.addAll(Collections.nCopies(MAX_SENDS, response.reply()));

                assertNoPromise(stream("r-" + responses.indexOf(response)), response.toString());
                script.clear();
            }
        }

        @ParameterizedTest
        @ValueSource(ints = {408, 429, 503})
        void testASafeCallIsRetried(int status) throws Exception {
            serveWithBothEndpoints();
            List<Unproven> responses = unproven(List.of(status));
            for (Unproven response : responses) {
                script.add(response.reply());
                script.add(ScriptedEndpoint.ok("done"));

                String answer = gateway.exchange(safe("r-" + responses.indexOf(response)));

                assertTrue(answer.endsWith("done"), response + " is answered " + answer);
            }
        }
    }

    /** A promise of one attempt while another one ran the call. */
    @Nested
    final class SecondAttempts {
        @ParameterizedTest
        @ValueSource(strings = {"429 Busy\r\nX-Not-Executed: 1", "503 Busy\r\nX-Not-Executed: 1", "421 Misdirected"})
        void testARefusalOfTheSecondAttemptDoesNotHideTheRunOfTheFirst(String refusal) throws Exception {
            serveWithBothEndpoints();
            script.add(response("429 Failed", Framing.LENGTH, 2));
            script.addAll(Collections.nCopies(MAX_SENDS, response(refusal, Framing.CHUNKS, LARGE_BODY_BYTES)));

            assertNoPromise(safe("r-1"));
        }

        @Test
        void testAFailureOfTheSecondAttemptDoesNotBecomeThePromiseOfTheFirst() throws Exception {
            serveWithBothEndpoints();
            script.add(response("503 Busy\r\nX-Not-Executed: 1", Framing.LENGTH, 2));
            script.add(response("408 Failed", Framing.CLOSE, LARGE_BODY_BYTES));

            assertNoPromise(unsafe("r-1"));
        }
    }

    /** Heads that no caller may get as they are. */
    @Nested
    final class Heads {
        @ParameterizedTest
        @ValueSource(strings = {"200 OK\r\nX-Not-Executed: 1", "600 Odd", "999 Odd", "0 Odd", "99 Odd"})
        void testAContradictoryOrUnknownStatusIsAFailure(String statusAndHeaders) throws Exception {
            serveWithBothEndpoints();
            script.add(response(statusAndHeaders, Framing.LENGTH, 2));

            assertNoPromise(unsafe("r-1"));

            assertEquals(1, requests());
        }

        @Test
        void testAnUnprovenRefusalBehindAnInterimResponseIsReplaced() throws Exception {
            serveWithOneEndpoint();
            script.add((request, socket) -> {
                ScriptedEndpoint.write(socket, "HTTP/1.1 103 Early Hints\r\nX-Not-Executed: 1\r\n\r\n");
                return response("429 Failed", Framing.LENGTH, 2).answer(request, socket);
            });

            assertNoPromise(unsafe("r-1"));
        }

        @ParameterizedTest
        @ValueSource(strings = {"500 Error", "404 Not Found", "504 Timeout"})
        void testAFailureThatPromisesNothingIsRelayedAsItIs(String status) throws Exception {
            serveWithOneEndpoint();
            script.add(response(status, Framing.CHUNKS, LARGE_BODY_BYTES));

            String answer = gateway.exchange(unsafe("r-1"));

            assertTrue(answer.startsWith("HTTP/1.1 " + status) && answer.contains("X-Response-Signature: s"), status);
        }

        @Test
        void testAProvenRefusalIsAnsweredWithAPromise() throws Exception {
            serveWithOneEndpoint();
            script.addAll(Collections.nCopies(
                    MAX_SENDS, response("429 Busy\r\nX-Not-Executed: 1", Framing.CHUNKS, LARGE_BODY_BYTES)));

            String answer = gateway.exchange(unsafe("r-1"));

            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        }
    }
}
