package org.jasminehub.core.intake;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ConnectionLimiterTest {
    private static final int MAX_CONNECTIONS = 8;

    private final ConnectionLimiter<String> limiter = new ConnectionLimiter<>(MAX_CONNECTIONS);

    private void addUnserved(int count) {
        for (int number = 1; number <= count; number++) {
            limiter.add("unserved-" + number);
        }
    }

    private void addIdle(int count) {
        for (int number = 1; number <= count; number++) {
            limiter.add("idle-" + number);
            limiter.onRequest("idle-" + number);
            limiter.onResponse("idle-" + number);
        }
    }

    private void addBusy(int count) {
        for (int number = 1; number <= count; number++) {
            limiter.add("busy-" + number);
            limiter.onRequest("busy-" + number);
        }
    }

    @Test
    void testNoConnectionIsClosedUpToTheBound() {
        addUnserved(MAX_CONNECTIONS - 1);

        assertEquals(Optional.empty(), limiter.add("last"));
        assertEquals(MAX_CONNECTIONS, limiter.size());
    }

    @Nested
    final class BeyondTheBound {
        @Test
        void testTheOldestConnectionWithoutAResponseIsClosed() {
            addIdle(4);
            addUnserved(4);

            assertEquals(Optional.of("unserved-1"), limiter.add("new"));
            assertEquals(MAX_CONNECTIONS, limiter.size());
            assertEquals(1, limiter.closed());
        }

        @Test
        void testAConnectionThatMakesProgressIsClosedLater() {
            addUnserved(MAX_CONNECTIONS);
            limiter.onProgress("unserved-1");

            assertEquals(Optional.of("unserved-2"), limiter.add("new"));
        }

        /** Guards against new clients that never get to send their request because others keep idle connections. */
        @Test
        void testAFewConnectionsWithoutAResponseAreSpared() {
            addIdle(6);
            addUnserved(2);

            assertEquals(Optional.of("idle-1"), limiter.add("new"));
        }

        @Test
        void testConnectionsWithARequestAreNotClosed() {
            addBusy(7);
            addUnserved(1);

            assertEquals(Optional.of("unserved-1"), limiter.add("new"));
        }

        @Test
        void testANewConnectionIsClosedIfAllOthersHaveRequests() {
            addBusy(MAX_CONNECTIONS);

            assertEquals(Optional.of("new"), limiter.add("new"));
            assertEquals(MAX_CONNECTIONS, limiter.size());
        }
    }

    @Test
    void testAClosedConnectionMakesRoom() {
        addBusy(MAX_CONNECTIONS);
        limiter.remove("busy-1");

        assertEquals(Optional.empty(), limiter.add("new"));
    }

    /** Guards against a connection that counts again because its response ends after it was closed. */
    @Test
    void testTheResponseOfAClosedConnectionIsIgnored() {
        addBusy(1);
        limiter.remove("busy-1");
        limiter.onResponse("busy-1");

        assertEquals(0, limiter.size());
    }
}
