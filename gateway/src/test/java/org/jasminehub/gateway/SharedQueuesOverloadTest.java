package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests an entry instance whose queues are shared, over sockets. */
final class SharedQueuesOverloadTest extends GatewayFixture {
    /** Four slots, as registered by the harness, with three calls per slot of a plain endpoint. */
    private static final int PLACES = 12;

    private final List<Socket> open = new ArrayList<>();

    @Override
    @BeforeEach
    void start() throws IOException {
        super.start();
        gateway.close();
        gateway = GatewayHarness.sharingQueues();
    }

    @AfterEach
    void closeSockets() {
        open.forEach(ScriptedEndpoint::closeQuietly);
    }

    private Socket write(String request) throws IOException {
        Socket socket = gateway.connect();
        open.add(socket);
        ScriptedEndpoint.write(socket, request);
        return socket;
    }

    private void occupyAllPlaces() throws IOException {
        serveWithOneEndpoint();
        GatewayHarness.await(() -> gateway.gauge("queues.shared") == 1);
        for (int call = 0; call < PLACES; call++) {
            script.add((request, socket) -> true);
            write(unsafe("busy-" + call));
        }
        GatewayHarness.await(() -> requests() == PLACES);
    }

    @Test
    void testACallWithoutASlotIsNotSentAndIsRefusedWithRetryAfter() throws Exception {
        occupyAllPlaces();

        String answer = gateway.exchange(unsafe("r-1"));

        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.toLowerCase(Locale.ROOT).contains("retry-after: "), answer);
        assertEquals(PLACES, requests());
    }

    /** Guards against a queue that keeps the calls of callers that have left, for which peers would leave slots free. */
    @Test
    void testACallWhoseCallerHasLeftIsDroppedFromTheQueue() throws Exception {
        occupyAllPlaces();
        Socket waiting = write(safe("r-1"));
        GatewayHarness.await(() -> gateway.gauge("queues.waiting") == 1);

        ScriptedEndpoint.closeQuietly(waiting);

        GatewayHarness.await(() -> gateway.gauge("queues.waiting") == 0);
        assertEquals(PLACES, requests());
    }

    /** Guards against queued calls that are not sent when a slot becomes free. */
    @Test
    void testAWaitingCallIsSentWhenASlotIsFree() throws Exception {
        occupyAllPlaces();
        write(safe("r-1"));
        GatewayHarness.await(() -> gateway.gauge("queues.waiting") == 1);
        script.add((request, socket) -> true);

        ScriptedEndpoint.closeQuietly(open.get(0));

        GatewayHarness.await(() -> requests() == PLACES + 1);
        assertEquals(0, gateway.gauge("queues.waiting"));
    }
}
