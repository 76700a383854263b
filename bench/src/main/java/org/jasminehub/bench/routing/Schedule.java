package org.jasminehub.bench.routing;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.jasminehub.core.time.ManualClock;

/** Runs actions in the order of their times and moves the manual clock along. */
final class Schedule {
    private final ManualClock clock = new ManualClock(0);
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingDouble(Entry::atMillis).thenComparingLong(Entry::sequence));
    private double nowMillis;
    private long nextSequence;

    private record Entry(double atMillis, long sequence, Runnable action) {}

    ManualClock clock() {
        return clock;
    }

    double nowMillis() {
        return nowMillis;
    }

    void after(double delayMillis, Runnable action) {
        entries.add(new Entry(nowMillis + Math.max(0, delayMillis), nextSequence++, action));
    }

    void runUntil(double endMillis) {
        while (!entries.isEmpty() && entries.peek().atMillis() <= endMillis) {
            Entry entry = entries.remove();
            nowMillis = entry.atMillis();
            clock.advanceMillis((long) nowMillis - clock.monotonicMillis());
            entry.action().run();
        }
    }
}
