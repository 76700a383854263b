package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
