package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests streams through a real entry instance as seen by callers. */
final class StreamsTest extends GatewayFixture {
    /** Streams that are interrupted or contain invalid events. */
    @Nested
    final class Streams {
        private ScriptedEndpoint.Reply events(int from, int to, String tail, boolean ends) {
            return (request, socket) -> {
                StringBuilder body = new StringBuilder("HTTP/1.1 200 OK\r\nX-Attempt-Id: "
                        + request.header("x-attempt-id")
                        + "\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
                for (int id = from; id <= to; id++) {
                    body.append(chunk("id: " + id + "\ndata: e" + id + "\n\n"));
                }
                body.append(tail.isEmpty() ? "" : chunk(tail));
                ScriptedEndpoint.write(socket, body + (ends ? "0\r\n\r\n" : ""));
                return ends;
            };
        }

        private String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }

        /** Returns a reply that sends one byte of an event now and then until its connection is closed. */
        private ScriptedEndpoint.Reply drip(int firstId, long pauseMillis) {
            return (request, socket) -> {
                events(firstId, firstId, "", false).answer(request, socket);
                while (true) {
                    ScriptedEndpoint.write(socket, chunk("d"));
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMillis));
                }
            };
        }

        @Test
        void testAStreamThatBreaksOffBeforeItsFirstEventIsAnsweredWithAnError() throws Exception {
            serveWithBothEndpoints();
            script.add(events(1, 0, "", false));
            script.add(events(1, 0, "", false));

            String answer = gateway.exchange(stream("r-1"));

            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        }

        @Test
        void testAResumedStreamWithoutFurtherEventsIsComplete() throws Exception {
            serveWithOneEndpoint();
            script.add(events(1, 0, "", true));

            String answer = gateway.exchange(stream("r-1").replaceFirst("\r\n", "\r\nLast-Event-Id: 3\r\n"));

            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n"), answer);
        }

        @Test
        void testAStreamThatOnlyDripsIsGivenUpAndResumedElsewhere() throws Exception {
            serveWithBothEndpoints();
            script.add(drip(1, 50));
            script.add(events(2, 3, "", true));

            String answer = gateway.exchange(stream("r-1"));

            assertTrue(answer.contains("data: e3") && answer.endsWith("0\r\n\r\n"), answer);
        }

        @Test
        void testAStreamThatOnlyDripsEndsWithItsRoute() throws Exception {
            serveWithOneEndpoint();
            script.add(drip(1, 50));
            script.add(drip(2, 50));

            String answer = gateway.exchange(stream("r-1"));

            assertTrue(answer.contains("data: e1") && !answer.endsWith("0\r\n\r\n"), answer);
        }

        @Test
        void testASlowButSoundStreamIsNotCut() throws Exception {
            serveWithOneEndpoint();
            script.add((request, socket) -> {
                events(1, 1, "", false).answer(request, socket);
                for (int id = 2; id <= 5; id++) {
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(600));
                    ScriptedEndpoint.write(socket, chunk("id: " + id + "\ndata: e" + id + "\n\n"));
                }
                ScriptedEndpoint.write(socket, "0\r\n\r\n");
                return true;
            });

            String answer = gateway.exchange(stream("r-1"));

            assertTrue(answer.contains("data: e5") && answer.endsWith("0\r\n\r\n"), answer);
            assertEquals(1, requests());
        }

        @Test
        void testAStreamOfAnEndpointThatIsNoLongerRegisteredIsNotStartedAgain() throws Exception {
            serveWithBothEndpoints();
            script.add((request, socket) -> {
                events(1, 1, "", false).answer(request, socket);
                gateway.store().put("keyed.servers", "e-1", "");
                gateway.store().put("keyed.servers", "e-2", "");
                GatewayHarness.await(() -> !gateway.entry().knowsEndpoint("e-1", false)
                        && !gateway.entry().knowsEndpoint("e-2", false));
                ScriptedEndpoint.write(socket, chunk("id: 2\ndata: e2\n\n") + "0\r\n\r\n");
                return true;
            });

            String answer = gateway.exchange(stream("r-1"));

            assertTrue(answer.contains("data: e2") && answer.endsWith("0\r\n\r\n"), answer);
            assertEquals(1, requests());
        }

        @Test
        void testAStreamCutInsideAnEventResumesElsewhereWithoutGapsOrDuplicates() throws Exception {
            serveWithBothEndpoints();
            script.add(events(1, 2, "id: 3\nda", false));
            script.add(events(3, 4, "", true));

            String answer = gateway.exchange(stream("r-1"));

            String data = answer.replaceAll("(?s)^.*?\r\n\r\n", "").replaceAll("[0-9a-f]+\r\n|\r\n", "");
            assertEquals("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n", data, answer);
            assertTrue(answer.endsWith("0\r\n\r\n"));
            assertEquals(2, requests());
            boolean isResumedAtTwo =
                    takeRequest(endpointOne).header("last-event-id").equals("2")
                            || takeRequest(endpointTwo).header("last-event-id").equals("2");
            assertTrue(isResumedAtTwo);
        }

        @Test
        void testAStreamThatCannotBeResumedIsNotTerminated() throws Exception {
            serveWithOneEndpoint();
            script.add(events(1, 2, "", false));
            script.add(ScriptedEndpoint.reset());

            String answer = gateway.exchange(stream("r-1"));

            assertTrue(answer.contains("data: e2"));
            assertFalse(answer.endsWith("0\r\n\r\n"));
        }

        @Test
        void testAnOutOfOrderEventIsNotDelivered() throws Exception {
            serveWithOneEndpoint();
            script.add((request, socket) -> {
                events(1, 1, "id: 3\ndata: e3\n\n", true).answer(request, socket);
                return true;
            });
            script.add(ScriptedEndpoint.reset());

            String answer = gateway.exchange(stream("r-1"));

            assertFalse(answer.contains("e3"));
            assertFalse(answer.endsWith("0\r\n\r\n"));
        }
    }
}
