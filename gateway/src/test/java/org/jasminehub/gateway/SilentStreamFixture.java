package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jasminehub.gateway.call.AttemptFailed;
import org.jasminehub.gateway.call.CallEnded;

/** Replies and checks for tests of streams without events from their endpoint. */
abstract class SilentStreamFixture extends GatewayFixture {
    static final String ID = "r-1";

    /** Four slots, as registered by the harness, with three calls per slot of a plain endpoint. */
    static final int PLACES = 12;

    /** How often a call may be sent. */
    static final int MAX_SENDS = 4;

    /** Longer than the time-out after which a second attempt may start. */
    static final long SILENCE_MILLIS = 1_600;

    static final ScriptedEndpoint.Reply SILENT = (request, socket) -> true;

    static final ScriptedEndpoint.Reply BUSY = (request, socket) -> {
        ScriptedEndpoint.write(
                socket,
                "HTTP/1.1 503 Busy\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                        + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        return true;
    };

    static void head(ScriptedEndpoint.Request request, Socket socket) throws IOException {
        ScriptedEndpoint.write(
                socket,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                        + "\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
    }

    static void text(Socket socket, String text) throws IOException {
        ScriptedEndpoint.write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    static void events(Socket socket, int from, int to) throws IOException {
        for (int id = from; id <= to; id++) {
            text(socket, "id: " + id + "\ndata: e" + id + "\n\n");
        }
    }

    static boolean end(Socket socket) throws IOException {
        ScriptedEndpoint.write(socket, "0\r\n\r\n");
        return true;
    }

    /** Returns a reply with events that ends neither the response nor the connection. */
    static ScriptedEndpoint.Reply silentAfter(int lastId) {
        return (request, socket) -> {
            head(request, socket);
            events(socket, 1, lastId);
            return true;
        };
    }

    static void pause(long millis) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < endNanos) {
            LockSupport.parkNanos(endNanos - System.nanoTime());
        }
    }

    static void assertEvents(int lastId, String answer) {
        String data = answer.replaceAll("(?s)^.*?\r\n\r\n", "").replaceAll("[0-9a-f]+\r\n|\r\n", "");
        String expected = IntStream.rangeClosed(1, lastId)
                .mapToObj(id -> "id: " + id + "\ndata: e" + id + "\n\n")
                .collect(Collectors.joining());
        assertEquals(expected, data, answer);
        assertTrue(answer.endsWith("0\r\n\r\n"), answer);
    }

    List<AttemptFailed> failures() {
        return gateway.callEvents(ID).stream()
                .filter(AttemptFailed.class::isInstance)
                .map(AttemptFailed.class::cast)
                .toList();
    }

    CallEnded ended() {
        GatewayHarness.await(() -> gateway.callEvents(ID).stream().anyMatch(CallEnded.class::isInstance));
        return gateway.callEvents(ID).stream()
                .filter(CallEnded.class::isInstance)
                .map(CallEnded.class::cast)
                .findFirst()
                .orElseThrow();
    }

    long streamRequests() {
        return endpointOne.requests().stream()
                        .filter(request -> request.head().contains("/stream/"))
                        .count()
                + endpointTwo.requests().stream()
                        .filter(request -> request.head().contains("/stream/"))
                        .count();
    }

    int closes() {
        return endpointOne.closes().size() + endpointTwo.closes().size();
    }

    /**
     * Fills both endpoints and sends one more call: if an ended attempt were still counted, not all calls would arrive;
     * if one had been counted off twice, too many would.
     */
    void assertNoEndedAttemptIsCounted() throws IOException {
        int before = requests();
        script.addAll(Collections.nCopies(2 * PLACES, SILENT));
        List<Socket> open = new ArrayList<>();
        for (int call = 0; call < 2 * PLACES; call++) {
            open.add(open(unsafe("fill-" + call)));
        }
        GatewayHarness.await(() -> requests() == before + 2 * PLACES);

        assertTrue(gateway.exchange(unsafe("too-many")).startsWith("HTTP/1.1 503"));
        assertEquals(before + 2 * PLACES, requests());
        open.forEach(ScriptedEndpoint::closeQuietly);
    }
}
