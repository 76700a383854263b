package org.jasminehub.bench.routing;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.jasminehub.core.time.ManualClock;

/** A discrete-event scheduler that runs actions in order of time and advances a manual clock. */
final class EventScheduler {
    private final ManualClock clock = new ManualClock(0);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::sequenceNumber));
    private double nowMillis;
    private long nextSequenceNumber;

    private record Event(double atMillis, long sequenceNumber, Runnable action) {}

    ManualClock clock() {
        return clock;
    }

    double nowMillis() {
        return nowMillis;
    }

    /** Schedules an action; actions for the same time run in the order in which they were scheduled. */
    void schedule(double delayMillis, Runnable action) {
        events.add(new Event(nowMillis + Math.max(0, delayMillis), nextSequenceNumber++, action));
    }

    /** Runs all actions that are due by {@code endMillis}, including those that are scheduled meanwhile. */
    void runUntil(double endMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.remove();
            nowMillis = event.atMillis();
            clock.advanceMillis((long) nowMillis - clock.monotonicMillis());
            event.action().run();
        }
    }
}
