package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jasminehub.gateway.call.AttemptFailed;
import org.jasminehub.gateway.control.ControlEventKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against calls that are reported as not run, or sent to another endpoint as if they had not run, because a faulty
 * endpoint wrote an earlier refusal once more on a kept connection.
 */
final class RepeatedRefusalTest extends GatewayFixture {
    private static final String WITHOUT_ID = "";

    /** The local ports of the entry instance, one for each connection on which a request arrived. */
    private final Set<Integer> connections = ConcurrentHashMap.newKeySet();

    private static String refusal(int status, String id) {
        return "HTTP/1.1 " + status + " Refused\r\n" + (id.isEmpty() ? "" : "X-Attempt-Id: " + id + "\r\n")
                + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    private static String success(String id, String body) {
        return "HTTP/1.1 200 OK\r\n" + (id.isEmpty() ? "" : "X-Attempt-Id: " + id + "\r\n")
                + "X-Response-Signature: s\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns a reply that writes {@code text} in one packet. */
    private ScriptedEndpoint.Reply writing(String text) {
        return (request, socket) -> {
            connections.add(socket.getPort());
            ScriptedEndpoint.write(socket, text);
            return true;
        };
    }

    /** Answers a call, after which its connection is kept. */
    private void keepAConnection() throws Exception {
        script.add(writing(success("r-0", "zero")));
        assertTrue(gateway.exchange(safe("r-0")).endsWith("zero"));
        GatewayHarness.await(() -> endpointOne.openConnections() == 1);
    }

    private List<AttemptFailed> failures(String id) {
        return gateway.callEvents(id).stream()
                .filter(AttemptFailed.class::isInstance)
                .map(AttemptFailed.class::cast)
                .toList();
    }

    /** A repeated refusal in place of the response to the next request, which the endpoint runs. */
    @Nested
    final class InFlight {
        private void assertNotReportedAsNotRun(int status, String staleId) throws Exception {
            serveWithOneEndpoint();
            keepAConnection();
            // Every further attempt is answered in the same way, so that the caller gets the answer to a failed call.
            for (int attempt = 0; attempt < 4; attempt++) {
                script.add(writing(refusal(status, staleId)));
            }

            String answer = gateway.exchange(safe("r-1"));

            assertFalse(failures("r-1").isEmpty());
            assertFalse(failures("r-1").get(0).end().isNotRun(), failures("r-1") + answer);
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        }

        @Test
        void testARepeated503WithoutAnIdDoesNotSayThatTheNextCallHasNotRun() throws Exception {
            assertNotReportedAsNotRun(503, WITHOUT_ID);
        }

        @Test
        void testARepeated503WithTheIdOfTheEarlierCallDoesNotSayThatTheNextCallHasNotRun() throws Exception {
            assertNotReportedAsNotRun(503, "r-0");
        }

        @Test
        void testARepeated429WithoutAnIdDoesNotSayThatTheNextCallHasNotRun() throws Exception {
            assertNotReportedAsNotRun(429, WITHOUT_ID);
        }

        @Test
        void testARepeated400WithoutAnIdDoesNotSayThatTheNextCallHasNotRun() throws Exception {
            assertNotReportedAsNotRun(400, WITHOUT_ID);
        }

        @Test
        void testARepeated421WithoutAnIdDoesNotSayThatTheNextCallHasNotRun() throws Exception {
            assertNotReportedAsNotRun(421, WITHOUT_ID);
        }

        @Test
        void testARepeatedRefusalDoesNotSayThatAResumableStreamHasNotRun() throws Exception {
            serveWithOneEndpoint();
            keepAConnection();
            for (int attempt = 0; attempt < 4; attempt++) {
                script.add(writing(refusal(503, WITHOUT_ID)));
            }

            String answer = gateway.exchange(stream("r-1"));

            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        }

        @Test
        void testTheAnswerAfterARepeatedRefusalIsNotDeliveredToAnotherCall() throws Exception {
            serveWithOneEndpoint();
            keepAConnection();
            script.add(writing(refusal(503, WITHOUT_ID) + success("r-1", "late")));
            script.add(writing(success("r-1", "again")));
            script.add(writing(success("r-2", "next")));

            assertTrue(gateway.exchange(safe("r-1")).endsWith("again"));
            assertTrue(gateway.exchange(safe("r-2")).endsWith("next"));
        }

        @Test
        void testARepeatedSuccessWithoutAnIdIsNotDeliveredToTheNextCall() throws Exception {
            serveWithOneEndpoint();
            keepAConnection();
            script.add(writing(success(WITHOUT_ID, "zero")));
            script.add(writing(success("r-1", "one")));

            String answer = gateway.exchange(safe("r-1"));

            assertTrue(answer.endsWith("one"), answer);
        }

        @Test
        void testACallWithoutAnIdDoesNotUseAConnectionOnWhichAnEarlierResponseMayArrive() throws Exception {
            serveWithOneEndpoint();
            keepAConnection();
            script.add(writing(success(WITHOUT_ID, "one")));

            String answer = gateway.exchange(safe("r-1").replace("X-Attempt-Id: r-1\r\n", ""));

            assertTrue(answer.endsWith("one"), answer);
            assertEquals(2, connections.size());
        }
    }

    /** A refusal of the same call's earlier attempt, which carries the id of the call. */
    @Nested
    final class SameCall {
        @Test
        void testNoAttemptUsesAConnectionOnWhichTheSameCallWasRefusedBefore() throws Exception {
            serveWithOneEndpoint();
            script.add(writing(refusal(503, "r-1")));
            script.add(writing(refusal(503, "r-1")));
            script.add(writing(refusal(503, "r-1")));
            script.add(writing(success("r-1", "done")));

            assertTrue(gateway.exchange(safe("r-1")).endsWith("done"));

            assertEquals(4, connections.size());
        }
    }

    /** What a repeated response states about its endpoint. */
    @Nested
    final class Statements {
        private static final String LIMIT = "Server-Limit: 100\r\n";

        private String limited(String response) {
            return response.replaceFirst("\r\n", "\r\n" + LIMIT);
        }

        private void assertLimitKept(String staleId) throws Exception {
            serveWithOneEndpoint();
            keepAConnection();
            script.add(writing(limited(success("r-1", "one"))));
            assertTrue(gateway.exchange(safe("r-1")).endsWith("one"));
            GatewayHarness.await(() -> gateway.gauge("endpoints.limited") == 1);

            script.add(writing(refusal(503, staleId)));
            script.add(writing(limited(success("r-2", "two"))));
            assertTrue(gateway.exchange(safe("r-2")).endsWith("two"));

            // One event for the statement of the limit, none for its end.
            assertEquals(1, gateway.countEvents(ControlEventKind.ENDPOINT_LIMITED));
        }

        @Test
        void testARefusalFromBeforeALimitDoesNotEndTheLimit() throws Exception {
            assertLimitKept("r-0");
        }

        @Test
        void testARefusalWithoutAnIdFromBeforeALimitDoesNotEndTheLimit() throws Exception {
            assertLimitKept(WITHOUT_ID);
        }
    }

    /** A repeated refusal before the next request is written. */
    @Nested
    final class Idle {
        @Test
        void testARefusalInThePacketOfTheGenuineOneDoesNotReachTheNextCall() throws Exception {
            serveWithOneEndpoint();
            script.add(writing(success("r-0", "zero") + refusal(503, WITHOUT_ID)));
            script.add(writing(success("r-1", "one")));

            assertTrue(gateway.exchange(safe("r-0")).endsWith("zero"));
            assertTrue(gateway.exchange(safe("r-1")).endsWith("one"));
            assertEquals(2, connections.size());
        }

        @Test
        void testARefusalOnAnIdleConnectionClosesIt() throws Exception {
            serveWithOneEndpoint();
            CountDownLatch delivered = new CountDownLatch(1);
            script.add((request, socket) -> {
                ScriptedEndpoint.write(socket, success("r-0", "zero"));
                try {
                    assertTrue(delivered.await(GatewayHarness.TIMEOUT.toSeconds(), TimeUnit.SECONDS));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                ScriptedEndpoint.write(socket, refusal(503, WITHOUT_ID));
                return true;
            });
            assertTrue(gateway.exchange(safe("r-0")).endsWith("zero"));

            delivered.countDown();
            GatewayHarness.await(() -> endpointOne.openConnections() == 0);

            script.add(writing(success("r-1", "one")));
            assertTrue(gateway.exchange(safe("r-1")).endsWith("one"));
        }
    }

    /** Refusals that certainly belong to the request. */
    @Nested
    final class Genuine {
        @Test
        void testARefusalWithTheIdOfTheCallStillSaysThatItHasNotRun() throws Exception {
            serveWithOneEndpoint();
            keepAConnection();
            for (int attempt = 0; attempt < 4; attempt++) {
                script.add(writing(refusal(503, "r-1")));
            }

            String answer = gateway.exchange(safe("r-1"));

            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        }

        @Test
        void testAnUnsafeCallDoesNotUseAKeptConnection() throws Exception {
            serveWithOneEndpoint();
            keepAConnection();
            script.add(writing(refusal(503, WITHOUT_ID)));
            script.add(writing(success("r-1", "paid")));

            assertTrue(gateway.exchange(unsafe("r-1")).endsWith("paid"));

            assertEquals(3, connections.size());
        }

        @Test
        void testAnUnsafeCallIsNotRetriedAfterARefusalOfAnotherCall() throws Exception {
            serveWithBothEndpoints();
            script.add(writing(refusal(503, "r-0") + success("r-1", "paid")));

            String answer = gateway.exchange(unsafe("r-1"));

            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertEquals(1, requests());
        }
    }
}
