package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.gateway.control.ControlEvent;
import org.jasminehub.gateway.control.ControlEventKind;
import org.jasminehub.platform.PlatformException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Planned stops with a manual clock. */
final class StopSequenceTest {
    private static final double GRACE_SECONDS = 8;
    private static final long GRACE_MILLIS = 8_000;

    private final ManualClock clock = new ManualClock(0);
    private final List<Event> events = new ArrayList<>();
    private final Queue<Runnable> timers = new ArrayDeque<>();
    private final Traffic traffic = new Traffic();
    private final StopSequence sequence = new StopSequence(
            settings(),
            clock,
            (delayMillis, action) -> timers.add(() -> {
                clock.advanceMillis(delayMillis);
                action.run();
            }),
            events::add);

    private static GatewaySettings settings() {
        String any = "127.0.0.1:0";
        return new GatewaySettings(
                "entry-1",
                "a",
                any,
                any,
                any,
                any,
                0,
                1,
                List.of(),
                any,
                5_000,
                2_000,
                GRACE_SECONDS,
                5,
                1,
                1,
                0.2,
                60,
                10,
                CapacitySettings.OFF,
                GatewayHarness.CLIENTS);
    }

    /** Advances the clock until the sequence has ended or its grace time is over. */
    private void runToEnd() {
        while (!traffic.isClosed && !timers.isEmpty() && clock.monotonicMillis() < GRACE_MILLIS) {
            timers.remove().run();
        }
    }

    private String stoppedDetail() {
        return events.stream()
                .filter(event -> event.kind() == ControlEventKind.PROCESS_STOPPED)
                .map(event -> ((ControlEvent) event).detail())
                .findFirst()
                .orElse("");
    }

    /** A caller whose request is open when the process has to end. */
    @Nested
    final class OpenRequests {
        @Test
        void testAStopThatIsHandledLateEndsBeforeTheProcessIsKilled() {
            clock.advanceMillis(1_500);
            traffic.connections = 1;
            traffic.unanswered = 1;
            sequence.run(traffic, 0);
            runToEnd();
            assertTrue(traffic.isClosed, "the process would be killed at " + clock.monotonicMillis() + " ms");
        }

        @Test
        void testTheProcessDoesNotEndBeforeTheLastResponsesAreWritten() {
            traffic.connections = 2;
            traffic.unanswered = 2;
            traffic.writesPerCheck = 1;
            sequence.run(traffic, 0);
            runToEnd();
            assertEquals(0, traffic.unanswered);
            assertTrue(traffic.isClosed && traffic.wasEnded);
            assertTrue(stoppedDetail().contains(" 0 connections"), stoppedDetail());
        }

        @Test
        void testAStepThatFailsDoesNotEndTheStop() {
            traffic.connections = 1;
            traffic.unanswered = 1;
            traffic.failsToEndCalls = true;
            sequence.run(traffic, 0);
            runToEnd();
            assertTrue(traffic.isClosed, "open requests are lost with the process");
            assertTrue(events.stream().anyMatch(event -> event.kind() == ControlEventKind.PROCESS_STOP_STEP_FAILED));
        }

        @Test
        void testAConnectionWithoutItsResponseIsLogged() {
            traffic.connections = 1;
            traffic.unanswered = 1;
            sequence.run(traffic, 0);
            runToEnd();
            assertTrue(stoppedDetail().contains(" 1 connections"), stoppedDetail());
        }
    }

    @Test
    void testAStopWithoutConnectionsEndsOnceNoCallerHasTheAddress() {
        sequence.run(traffic, 0);
        assertFalse(traffic.isClosed);
        runToEnd();
        assertTrue(traffic.isClosed && clock.monotonicMillis() < GRACE_MILLIS / 2);
    }

    /** Connections whose requests are all open until the sequence ends them. */
    private static final class Traffic implements StopTarget {
        private int connections;
        private int unanswered;
        private int writesPerCheck;
        private boolean failsToEndCalls;
        private boolean wasEnded;
        private boolean isClosed;

        @Override
        public int connections() {
            return connections;
        }

        @Override
        public int openCalls() {
            return wasEnded ? 0 : unanswered;
        }

        @Override
        public int unansweredConnections() {
            return unanswered;
        }

        @Override
        public void closeIdle() {}

        @Override
        public void stopListening() {}

        @Override
        public void endOpenCalls() {
            wasEnded = true;
            if (failsToEndCalls) {
                throw new PlatformException("calls", "cannot be ended", null);
            }
        }

        @Override
        public void closeAnswered() {
            connections = unanswered;
            unanswered = Math.max(0, unanswered - writesPerCheck);
        }

        @Override
        public void closeAll() {
            isClosed = true;
        }
    }
}
