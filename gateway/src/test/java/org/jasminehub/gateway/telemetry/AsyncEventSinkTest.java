package org.jasminehub.gateway.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.gateway.call.CallEnded;
import org.jasminehub.gateway.call.CallEventKind;
import org.jasminehub.platform.PlatformException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of the asynchronous log sink while the log stalls, and of the metering sink. */
final class AsyncEventSinkTest {
    private static final int CAPACITY = 100;

    private static CallEnded call(CallEventKind kind, String id) {
        String code = kind == CallEventKind.CALL_REFUSED ? "overloaded" : "";
        return new CallEnded(kind, id, "r", "w", 200, code, "", "e", 1, 0, 5, 10, 20, 1, 0);
    }

    /** The log sink blocks, as standard output does if it is not read. */
    @Nested
    final class Stalled {
        @Test
        void testEmittingNeverBlocksAndFailuresAreKeptBeforeServedCalls() throws Exception {
            CountDownLatch stall = new CountDownLatch(1);
            CountDownLatch stalled = new CountDownLatch(1);
            BlockingQueue<Event> written = new LinkedBlockingQueue<>();
            AsyncEventSink events = new AsyncEventSink(
                    new ManualClock(0),
                    (event, wallMillis) -> {
                        stalled.countDown();
                        awaitQuietly(stall);
                        written.add(event);
                    },
                    CAPACITY);
            events.emit(call(CallEventKind.CALL_SERVED, "first"));
            stalled.await();

            for (int line = 0; line < CAPACITY * 3; line++) {
                events.emit(call(CallEventKind.CALL_SERVED, "served-" + line));
            }
            events.emit(call(CallEventKind.CALL_REFUSED, "refused"));
            stall.countDown();
            events.close();

            List<Event> all = new ArrayList<>(written);
            assertTrue(all.stream()
                    .anyMatch(event -> event instanceof CallEnded ended
                            && ended.requestId().equals("refused")));
            LinesDropped missing = (LinesDropped) all.stream()
                    .filter(LinesDropped.class::isInstance)
                    .findFirst()
                    .orElseThrow();
            assertEquals(CAPACITY * 3 - CAPACITY * 3 / 4, missing.lines());
            assertEquals("CALL_SERVED=" + missing.lines(), missing.kinds());
        }

        private void awaitQuietly(CountDownLatch latch) {
            try {
                latch.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** The log sink fails for one event. */
    @Nested
    final class Failing {
        /** Guards against a log that ends for good because one event could not be written. */
        @Test
        void testTheOtherEventsAreWrittenAndTheFailedOneIsCounted() {
            List<Event> written = new ArrayList<>();
            AsyncEventSink events = new AsyncEventSink(
                    new ManualClock(0),
                    (event, wallMillis) -> {
                        if (event instanceof CallEnded ended
                                && ended.requestId().equals("failing")) {
                            throw new PlatformException("log", "cause", null);
                        }
                        written.add(event);
                    },
                    CAPACITY);
            CallEnded last = call(CallEventKind.CALL_REFUSED, "last");

            events.emit(call(CallEventKind.CALL_SERVED, "failing"));
            events.emit(last);
            events.close();

            assertEquals(List.of(last, new LinesDropped("CALL_SERVED=1", 1)), written);
        }
    }

    /** Counters and histograms of the metering sink. */
    @Nested
    final class Metered {
        @Test
        void testCallsAreCountedByKindAndCodeAndTheirTimesKept() {
            MetricRegistry metrics = new MetricRegistry();
            MeteringEventSink events = new MeteringEventSink(event -> {}, metrics);

            events.emit(call(CallEventKind.CALL_SERVED, "a"));
            events.emit(call(CallEventKind.CALL_REFUSED, "b"));

            assertEquals(1, metrics.counter("events.call_served").getCount());
            assertEquals(1, metrics.counter("calls.code.overloaded").getCount());
            assertEquals(2, metrics.histogram("calls.total.millis").getCount());
            assertEquals(
                    20, metrics.histogram("calls.total.millis").getSnapshot().getMedian());
        }
    }
}
