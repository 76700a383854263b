package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jasminehub.gateway.call.CallEventKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests when no second attempt is made for a silent stream, and what happens to both if the caller leaves. */
final class SilentStreamLimitsTest extends SilentStreamFixture {
    /** Callers that leave, and limits under which no second attempt starts. */
    @Nested
    final class Limits {
        private static final String PING = ": ping\n\n";
        private static final long PING_MILLIS = 100;

        private ScriptedEndpoint.Reply silentFor(long millis, int lastSilentId) {
            return (request, socket) -> {
                head(request, socket);
                events(socket, 1, lastSilentId);
                pause(millis);
                events(socket, lastSilentId + 1, 3);
                return end(socket);
            };
        }

        @Test
        void testNoAttemptStaysOpenAfterTheCallerHasLeft() throws Exception {
            serveWithBothEndpoints();
            script.add(silentAfter(1));
            script.add((request, socket) -> {
                head(request, socket);
                return true;
            });
            try (Socket caller = open(stream(ID))) {
                GatewayHarness.await(() -> requests() == 2);
                assertEquals(0, closes());
            }

            assertNotNull(endpointOne.closes().poll(GatewayHarness.TIMEOUT.toSeconds(), TimeUnit.SECONDS));
            assertNotNull(endpointTwo.closes().poll(GatewayHarness.TIMEOUT.toSeconds(), TimeUnit.SECONDS));
            assertEquals(CallEventKind.CALLER_GONE, ended().kind());
            assertNoEndedAttemptIsCounted();
        }

        @Test
        void testASilentStreamIsNotCutIfTheRetryBudgetIsUsedUp() throws Exception {
            serveWithBothEndpoints();
            // Each call is sent up to four times; the reserve of the harness allows 48 retries.
            for (int call = 0; call < 30; call++) {
                script.addAll(Collections.nCopies(MAX_SENDS, BUSY));
                gateway.exchange(safe("busy-" + call));
            }
            script.clear();
            script.add(silentFor(SILENCE_MILLIS, 1));

            assertEvents(3, gateway.exchange(stream(ID)));

            assertEquals(1, streamRequests());
        }

        @Test
        void testNoSecondAttemptIsMadeWhileAllStreamsAreSilent() throws Exception {
            serveWithBothEndpoints();
            List<Socket> callers = new ArrayList<>();
            for (int call = 0; call < 3; call++) {
                script.add(silentFor(SILENCE_MILLIS, 1));
                callers.add(open(stream("r-" + call)));
            }
            for (Socket caller : callers) {
                assertEvents(3, GatewayHarness.readAll(caller.getInputStream()));
                caller.close();
            }

            assertEquals(3, streamRequests());
        }

        @Test
        void testACallThatIsSuspectedOfCrashesIsNotSentToASecondEndpoint() throws Exception {
            serveWithOneEndpoint();
            String parts = "\r\nX-Prompt-Prefix: bad0:300,own:9\r\n";
            for (int index = 0; index < 2; index++) {
                try (CrashingEndpoint crashing = new CrashingEndpoint(
                        request -> request.header("x-prompt-prefix").contains("bad0"))) {
                    gateway.register("e-1", endpointOne.port(), "draining");
                    gateway.register("c-" + index, crashing.port(), "ready");
                    gateway.exchange(stream("crash-" + index).replaceFirst("\r\n", parts));
                    assertTrue(crashing.isCrashed());
                    gateway.register("c-" + index, crashing.port(), "draining");
                }
            }
            gateway.putRegistration("e-1", endpointOne.port(), "ready", 2);
            GatewayHarness.await(() -> gateway.entry().knowsEndpoint("e-1", false));
            gateway.register("e-2", endpointTwo.port(), "ready");
            // Longer than the time-out for a first event.
            script.add(silentFor(2 * SILENCE_MILLIS, 0));

            assertEvents(3, gateway.exchange(stream(ID).replaceFirst("\r\n", parts)));

            assertEquals(1, streamRequests());
        }

        @Test
        void testAStreamThatGoesOnIsNotSentWhenCapacityBecomesFree() throws Exception {
            serveWithBothEndpoints();
            AtomicBoolean mayEnd = new AtomicBoolean();
            List<Socket> open = fillAroundSilentStream((request, socket) -> {
                head(request, socket);
                events(socket, 1, 1);
                pause(SILENCE_MILLIS);
                events(socket, 2, 2);
                while (!mayEnd.get()) {
                    // Not silent again, however long the rest of the test takes.
                    text(socket, PING);
                    pause(PING_MILLIS);
                }
                events(socket, 3, 3);
                return end(socket);
            });
            StringBuilder answer = new StringBuilder();
            while (answer.indexOf("e2") < 0) {
                answer.append((char) open.get(0).getInputStream().read());
            }
            ScriptedEndpoint other = silentEndpoint() == endpointOne ? endpointTwo : endpointOne;
            open.get(indexOfCallAt(other)).close();
            GatewayHarness.await(() -> gateway.gauge("calls.open") == 2 * PLACES - 1);
            script.add(ScriptedEndpoint.ok("served"));

            // A second attempt that was still queued would have been sent before this call.
            assertTrue(gateway.exchange(safe("next")).endsWith("served"));
            assertEquals(1, streamRequests());
            mayEnd.set(true);
            answer.append(GatewayHarness.readAll(open.get(0).getInputStream()));
            assertEvents(3, answer.toString().replace(PING, ""));
            open.forEach(ScriptedEndpoint::closeQuietly);
        }

        @Test
        void testAQueuedSecondAttemptDoesNotHoldUpCallsForTheEndpointOfTheSilentStream() throws Exception {
            serveWithBothEndpoints();
            AtomicBoolean mayEnd = new AtomicBoolean();
            List<Socket> open = fillAroundSilentStream((request, socket) -> {
                head(request, socket);
                events(socket, 1, 1);
                GatewayHarness.await(mayEnd::get);
                events(socket, 2, 3);
                return end(socket);
            });
            pause(SILENCE_MILLIS);
            script.add(ScriptedEndpoint.ok("served"));
            try (Socket waiting = open(safe("waiting"))) {
                GatewayHarness.await(() -> gateway.gauge("calls.open") == 2 * PLACES + 1);
                // Ends one call at the endpoint of the silent stream.
                open.get(indexOfCallAt(silentEndpoint())).close();

                assertTrue(GatewayHarness.readAll(waiting.getInputStream()).endsWith("served"));
            }
            assertEquals(1, streamRequests());
            mayEnd.set(true);
            assertEvents(3, GatewayHarness.readAll(open.get(0).getInputStream()));
            open.forEach(ScriptedEndpoint::closeQuietly);
        }

        private ScriptedEndpoint silentEndpoint() {
            boolean isFirst = endpointOne.requests().stream()
                    .anyMatch(request -> request.head().contains("/stream/"));
            return isFirst ? endpointOne : endpointTwo;
        }

        /** Returns the index of a call in the result of {@link #fillAroundSilentStream} that {@code endpoint} has. */
        private int indexOfCallAt(ScriptedEndpoint endpoint) {
            String id = endpoint.requests().stream()
                    .filter(request -> request.head().contains("/unsafe/"))
                    .findFirst()
                    .orElseThrow()
                    .header("x-attempt-id");
            return Integer.parseInt(id.substring("fill-".length()));
        }

        /**
         * Opens a stream, the first socket of the result, and calls that use all other capacity of both endpoints; the
         * call {@code fill-N} has the index N.
         */
        private List<Socket> fillAroundSilentStream(ScriptedEndpoint.Reply reply) throws IOException {
            script.add(reply);
            List<Socket> open = new ArrayList<>();
            open.add(open(stream(ID)));
            GatewayHarness.await(() -> requests() == 1);
            script.addAll(Collections.nCopies(2 * PLACES - 1, SILENT));
            for (int call = 1; call < 2 * PLACES; call++) {
                open.add(open(unsafe("fill-" + call)));
            }
            GatewayHarness.await(() -> requests() == 2 * PLACES);
            return open;
        }
    }
}
