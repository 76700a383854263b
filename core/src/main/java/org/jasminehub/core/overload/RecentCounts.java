package org.jasminehub.core.overload;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jasminehub.core.time.Clock;

/**
 * Counts events of the last second by priority. The second is divided into steps, so memory does not grow with the rate
 * of events.
 *
 * <p>Not thread-safe.
 */
final class RecentCounts {
    private static final long WINDOW_MILLIS = 1_000;

    /** A quarter of the shortest status interval, so that the division is not noticed in a status. */
    private static final long STEP_MILLIS = 20;

    private final Clock clock;
    private final Deque<Step> steps = new ArrayDeque<>();
    private PriorityCounts sum = PriorityCounts.NONE;

    RecentCounts(Clock clock) {
        this.clock = clock;
    }

    void add(int priority) {
        removeExpired();
        long step = clock.monotonicMillis() / STEP_MILLIS;
        Step last = steps.peekLast();
        if (last != null && last.number() == step) {
            steps.removeLast();
        } else {
            last = new Step(step, PriorityCounts.NONE);
        }
        steps.addLast(new Step(step, last.counts().with(priority, 1)));
        sum = sum.with(priority, 1);
    }

    PriorityCounts get() {
        removeExpired();
        return sum;
    }

    private void removeExpired() {
        long oldestStep = (clock.monotonicMillis() - WINDOW_MILLIS) / STEP_MILLIS;
        while (!steps.isEmpty() && steps.getFirst().number() <= oldestStep) {
            sum = sum.minus(steps.removeFirst().counts());
        }
    }

    private record Step(long number, PriorityCounts counts) {}
}
