package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Collections;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jasminehub.gateway.call.CallEventKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which of two open attempts continues a stream without events from its endpoint. */
final class SilentStreamsTest extends SilentStreamFixture {
    /** Which of two open attempts continues the stream. */
    @Nested
    final class FirstEventWins {
        @Test
        void testASilentStreamIsNotEndedBeforeAnotherEndpointContinuesIt() throws Exception {
            serveWithBothEndpoints();
            AtomicBoolean isFirstOpen = new AtomicBoolean();
            script.add(silentAfter(2));
            script.add((request, socket) -> {
                isFirstOpen.set(closes() == 0 && request.header("last-event-id").equals("2"));
                head(request, socket);
                events(socket, 3, 5);
                return end(socket);
            });

            assertEvents(5, gateway.exchange(stream(ID)));

            assertTrue(isFirstOpen.get(), "the silent attempt was ended too early, or its last event is not named");
            GatewayHarness.await(() -> closes() == 1);
            assertEquals(1, endpointOne.requests().size());
            assertEquals(1, endpointTwo.requests().size());
            assertEquals(2, ended().sends());
            assertEquals(1, ended().runs());
            assertEquals(1, failures().size());
            assertNoEndedAttemptIsCounted();
        }

        @Test
        void testASilentStreamThatGoesOnIsDeliveredAndTheSecondAttemptIsEnded() throws Exception {
            serveWithBothEndpoints();
            script.add((request, socket) -> {
                head(request, socket);
                events(socket, 1, 1);
                GatewayHarness.await(() -> requests() == 2);
                events(socket, 2, 3);
                // The second attempt must end with the next event, not with the response.
                GatewayHarness.await(() -> closes() == 1);
                events(socket, 4, 4);
                return end(socket);
            });
            script.add((request, socket) -> {
                head(request, socket);
                return true;
            });

            assertEvents(4, gateway.exchange(stream(ID)));

            assertEquals(2, requests());
            assertEquals(CallEventKind.CALL_SERVED, ended().kind());
            assertTrue(failures().isEmpty(), failures().toString());
            assertNoEndedAttemptIsCounted();
        }

        @Test
        void testAStreamWithoutAFirstEventIsNotEndedBeforeAnotherEndpointBeginsIt() throws Exception {
            serveWithBothEndpoints();
            AtomicBoolean isFirstOpen = new AtomicBoolean();
            script.add(silentAfter(0));
            script.add((request, socket) -> {
                isFirstOpen.set(closes() == 0);
                head(request, socket);
                events(socket, 1, 2);
                return end(socket);
            });

            assertEvents(2, gateway.exchange(stream(ID)));

            assertTrue(isFirstOpen.get());
            GatewayHarness.await(() -> closes() == 1);
            assertNoEndedAttemptIsCounted();
        }

        @Test
        void testAStreamThatIsSilentBeforeItsEndIsCompletedByAnotherEndpoint() throws Exception {
            serveWithBothEndpoints();
            script.add(silentAfter(3));
            script.add((request, socket) -> {
                head(request, socket);
                return end(socket);
            });

            assertEvents(3, gateway.exchange(stream(ID)));

            assertEquals(2, requests());
            assertNoEndedAttemptIsCounted();
        }

        @Test
        void testAnEventWithoutAnIdFromTheSecondAttemptDoesNotEndTheSilentOne() throws Exception {
            serveWithBothEndpoints();
            AtomicBoolean isSent = new AtomicBoolean();
            script.add((request, socket) -> {
                head(request, socket);
                events(socket, 1, 1);
                GatewayHarness.await(isSent::get);
                pause(SILENCE_MILLIS);
                events(socket, 2, 2);
                return end(socket);
            });
            script.add((request, socket) -> {
                head(request, socket);
                text(socket, ": ping\n\n");
                isSent.set(true);
                return true;
            });

            assertEvents(2, gateway.exchange(stream(ID)));
        }

        @ParameterizedTest
        @ValueSource(strings = {"500 Error", "404 Not Found", "503 Busy\r\nX-Not-Executed: 1", "200 OK"})
        void testAStreamIsNotEndedByTheLateErrorOfItsFirstEndpoint(String status) throws Exception {
            serveWithBothEndpoints();
            AtomicBoolean isBodyBegun = new AtomicBoolean();
            script.add((request, socket) -> {
                GatewayHarness.await(() -> requests() == 2);
                // The body of the error has begun when the other endpoint sends its first event.
                String type = status.startsWith("200") ? "\r\nContent-Type: text/plain" : "";
                BrokenStreamsTest.signed(status + type + "\r\nContent-Length: 12", "failed", true)
                        .answer(request, socket);
                isBodyBegun.set(true);
                GatewayHarness.await(() -> ended() != null);
                return false;
            });
            script.add((request, socket) -> {
                head(request, socket);
                GatewayHarness.await(isBodyBegun::get);
                events(socket, 1, 3);
                return end(socket);
            });

            assertEvents(3, gateway.exchange(stream(ID)));
        }

        @Test
        void testAStreamIsContinuedTwiceWithoutGapsOrDuplicates() throws Exception {
            serveWithBothEndpoints();
            script.add((request, socket) -> {
                head(request, socket);
                events(socket, 1, 1);
                GatewayHarness.await(() -> requests() == 2);
                socket.setSoLinger(true, 0);
                return false;
            });
            script.add((request, socket) -> {
                GatewayHarness.await(() -> failures().size() == 1);
                head(request, socket);
                events(socket, 2, 3);
                return end(socket);
            });

            assertEvents(3, gateway.exchange(stream(ID)));

            assertEquals(2, requests());
            assertNoEndedAttemptIsCounted();
        }
    }

    /** Second attempts that do not continue the stream. */
    @Nested
    final class SecondAttemptFails {
        /** Lets all second attempts end with {@code reply} before the silent endpoint continues. */
        private void assertTheSilentStreamGoesOn(int lastSilentId, ScriptedEndpoint.Reply reply, int attempts)
                throws IOException {
            serveWithBothEndpoints();
            script.add((request, socket) -> {
                head(request, socket);
                events(socket, 1, lastSilentId);
                GatewayHarness.await(() -> failures().size() == attempts);
                events(socket, lastSilentId + 1, 4);
                return end(socket);
            });
            script.addAll(Collections.nCopies(attempts, reply));

            assertEvents(4, gateway.exchange(stream(ID)));

            assertEquals(1 + attempts, requests());
            assertEquals(CallEventKind.CALL_SERVED, ended().kind());
            assertEquals(attempts, failures().size());
            assertNoEndedAttemptIsCounted();
        }

        @Test
        void testASilentStreamIsNotCutIfOtherEndpointsRefuseIt() throws Exception {
            assertTheSilentStreamGoesOn(2, BUSY, MAX_SENDS - 1);
        }

        @Test
        void testASilentStreamIsNotCutIfTheOtherEndpointResetsTheConnection() throws Exception {
            assertTheSilentStreamGoesOn(2, ScriptedEndpoint.reset(), 1);
        }

        @Test
        void testASilentStreamIsNotCutIfTheOtherEndpointLeavesAGap() throws Exception {
            assertTheSilentStreamGoesOn(
                    2,
                    (request, socket) -> {
                        head(request, socket);
                        events(socket, 4, 4);
                        return true;
                    },
                    1);
        }

        @Test
        void testASilentStreamIsNotCutIfTheOtherEndpointBreaksOffInsideAnEvent() throws Exception {
            assertTheSilentStreamGoesOn(
                    2,
                    (request, socket) -> {
                        head(request, socket);
                        text(socket, "id: 3\nda");
                        return end(socket);
                    },
                    1);
        }

        @Test
        void testAStreamWithoutAFirstEventIsNotAnsweredWithTheErrorOfTheOtherEndpoint() throws Exception {
            assertTheSilentStreamGoesOn(
                    0,
                    (request, socket) -> {
                        ScriptedEndpoint.write(
                                socket,
                                "HTTP/1.1 404 Not Found\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                                        + "\r\nContent-Length: 0\r\n\r\n");
                        return true;
                    },
                    1);
        }

        @Test
        void testAStreamWithoutAFirstEventIsNotAnsweredWithTheCutOfTheOtherEndpoint() throws Exception {
            assertTheSilentStreamGoesOn(0, ScriptedEndpoint.reset(), 1);
        }

        @Test
        void testACallIsAnsweredWithAnErrorIfBothAttemptsFail() throws Exception {
            serveWithBothEndpoints();
            script.add((request, socket) -> {
                head(request, socket);
                GatewayHarness.await(() -> failures().size() == 1);
                socket.setSoLinger(true, 0);
                return false;
            });
            script.add(ScriptedEndpoint.reset());

            String answer = gateway.exchange(stream(ID));

            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertEquals(2, ended().runs());
            assertNoEndedAttemptIsCounted();
        }
    }
}
