package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jasminehub.gateway.call.CallEventKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that an attempt which the gateway ended itself does not use up the attempts of the route. */
final class CancelledAttemptTest extends SilentStreamFixture {
    /** The ports of the endpoints, in the order in which the call arrived. */
    private final List<Integer> ports = new CopyOnWriteArrayList<>();

    private final List<String> lastEventIds = new CopyOnWriteArrayList<>();

    private ScriptedEndpoint.Reply recorded(ScriptedEndpoint.Reply reply) {
        return (request, socket) -> {
            ports.add(socket.getLocalPort());
            lastEventIds.add(request.header("last-event-id"));
            return reply.answer(request, socket);
        };
    }

    private static boolean reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        return false;
    }

    /** Sends {@code silentId} events, the next one once a second attempt is open, and breaks off once that has ended. */
    private ScriptedEndpoint.Reply silentThenBrokenOff(int silentId, Runnable beforeTheEnd) {
        return recorded((request, socket) -> {
            head(request, socket);
            events(socket, 1, silentId);
            GatewayHarness.await(() -> requests() == 2);
            events(socket, silentId + 1, silentId + 1);
            GatewayHarness.await(() -> closes() == 1);
            beforeTheEnd.run();
            return reset(socket);
        });
    }

    private ScriptedEndpoint.Reply silent() {
        return recorded((request, socket) -> {
            head(request, socket);
            return true;
        });
    }

    private ScriptedEndpoint.Reply rest(int from, int to) {
        return recorded((request, socket) -> {
            head(request, socket);
            events(socket, from, to);
            return end(socket);
        });
    }

    /** The silent endpoint continues the stream, so that the second attempt is cancelled, and breaks off later. */
    @Nested
    final class FirstEndpointBreaksOff {
        private void assertTheSecondEndpointIsSentTheCallAgain(int silentId) throws IOException {
            serveWithBothEndpoints();
            script.add(silentThenBrokenOff(silentId, () -> {}));
            script.add(silent());
            script.add(rest(silentId + 2, silentId + 4));

            assertEvents(silentId + 4, gateway.exchange(stream(ID)));

            assertEquals(3, ports.size());
            assertNotEquals(ports.get(0), ports.get(1));
            assertEquals(ports.get(1), ports.get(2), "sent to the endpoint that broke off");
            assertEquals(Integer.toString(silentId + 1), lastEventIds.get(2));
            assertEquals(CallEventKind.CALL_SERVED, ended().kind());
            assertEquals(1, failures().size());
            assertTrue(failures().get(0).isRepeated());
            assertNoEndedAttemptIsCounted();
        }

        @Test
        void testAStreamIsNotCutAfterItsSecondAttemptWasCancelled() throws Exception {
            assertTheSecondEndpointIsSentTheCallAgain(2);
        }

        @Test
        void testAStreamWithALateFirstEventIsNotCutAfterItsSecondAttemptWasCancelled() throws Exception {
            assertTheSecondEndpointIsSentTheCallAgain(0);
        }

        @Test
        void testTheCallIsNotSentToMoreEndpointsThanTheRouteAllows() throws Exception {
            try (ScriptedEndpoint endpointThree = new ScriptedEndpoint(script)) {
                serveWithBothEndpoints();
                gateway.register("e-3", endpointThree.port(), "ready");
                script.add(recorded((request, socket) -> {
                    head(request, socket);
                    events(socket, 1, 1);
                    GatewayHarness.await(() -> ports.size() == 2);
                    events(socket, 2, 2);
                    GatewayHarness.await(() -> closes() + endpointThree.closes().size() == 1);
                    return reset(socket);
                }));
                script.add(silent());
                script.add(rest(3, 4));

                assertEvents(4, gateway.exchange(stream(ID)));

                assertEquals(ports.get(1), ports.get(2));
            }
        }

        @Test
        void testTheStreamIsCutIfBothEndpointsBreakOff() throws Exception {
            serveWithBothEndpoints();
            script.add(silentThenBrokenOff(1, () -> {}));
            script.add(silent());
            script.add(recorded((request, socket) -> reset(socket)));

            String answer = gateway.exchange(stream(ID));

            assertFalse(answer.endsWith("0\r\n\r\n"), answer);
            assertEquals(3, ports.size());
            assertEquals(CallEventKind.CALL_REFUSED, ended().kind());
            assertNoEndedAttemptIsCounted();
        }

        @Test
        void testTheStreamIsCutAtOnceIfTheSecondEndpointIsLeaving() throws Exception {
            serveWithBothEndpoints();
            script.add(silentThenBrokenOff(1, () -> {
                String second = ports.get(1) == endpointOne.port() ? "e-1" : "e-2";
                gateway.register(second, ports.get(1), "draining");
            }));
            script.add(silent());

            String answer = gateway.exchange(stream(ID));

            assertFalse(answer.endsWith("0\r\n\r\n"), answer);
            assertEquals(2, ports.size());
            assertFalse(failures().get(0).isRepeated());
            // The call was not queued for an endpoint that it cannot be sent to.
            assertEquals(0, ended().queuedMillis());
        }
    }

    /** The second endpoint continues the stream, so that the attempt at the silent one is ended. */
    @Nested
    final class SecondEndpointBreaksOff {
        @Test
        void testTheSilentEndpointIsSentTheCallAgain() throws Exception {
            serveWithBothEndpoints();
            script.add(recorded(silentAfter(1)));
            script.add(recorded((request, socket) -> {
                head(request, socket);
                events(socket, 2, 2);
                GatewayHarness.await(() -> closes() == 1);
                return reset(socket);
            }));
            script.add(rest(3, 4));

            assertEvents(4, gateway.exchange(stream(ID)));

            assertEquals(ports.get(0), ports.get(2));
            assertEquals(List.of("", "1", "2"), lastEventIds);
            assertNoEndedAttemptIsCounted();
        }
    }

    /** A stream that falls silent twice at its first endpoint. */
    @Nested
    final class SilentAgain {
        @Test
        void testAnotherSecondAttemptIsMade() throws Exception {
            serveWithBothEndpoints();
            script.add(recorded((request, socket) -> {
                head(request, socket);
                events(socket, 1, 1);
                GatewayHarness.await(() -> requests() == 2);
                events(socket, 2, 2);
                return true;
            }));
            script.add(silent());
            script.add(rest(3, 4));

            assertEvents(4, gateway.exchange(stream(ID)));

            assertEquals(3, ports.size());
            assertEquals(ports.get(1), ports.get(2));
            assertNoEndedAttemptIsCounted();
        }
    }
}
