package org.jasminehub.core.balance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.time.Clock;

/**
 * This instance's share of the repeats that all instances together may send to a service.
 *
 * <p>Load pattern: when endpoints fail, every instance wants to repeat at once, and repeats turn a short fault into an
 * overload. In any window at most {@code ratio} of the calls, and an equal share of a fixed reserve, may be repeats.
 *
 * <p>Not safe for use by several threads.
 */
public final class RepeatBudget {
    /** Part of the allowance that is used; the rest covers calls that a window's edge counts otherwise. */
    private static final double USED_SHARE = 0.8;

    private final Clock clock;
    private final double ratio;
    private final double reserve;
    private final long windowMillis;
    private final Map<String, Deque<Long>> calls = new HashMap<>();
    private final Map<String, Deque<Long>> repeats = new HashMap<>();
    private int instances = 1;

    /**
     * Creates a budget.
     *
     * @param ratio repeats allowed for each call in a window
     * @param reserve repeats allowed besides, over all instances
     * @param windowMillis the window's length
     */
    public RepeatBudget(Clock clock, double ratio, double reserve, long windowMillis) {
        this.clock = clock;
        this.ratio = Checks.inRange("ratio", ratio, 0, 1);
        this.reserve = Checks.inRange("reserve", reserve, 0, Integer.MAX_VALUE);
        this.windowMillis = Checks.positive("windowMillis", windowMillis);
    }

    /** Sets how many instances may be alive at most, this one included. */
    public void setInstances(int count) {
        instances = (int) Checks.positive("instances", count);
    }

    /** Notes a call that a caller sent. */
    public void onCall(String service) {
        inWindow(calls, service).addLast(clock.monotonicMillis());
    }

    /** Takes a repeat out of the budget, or returns false where none is left. */
    public boolean tryRepeat(String service) {
        double allowed = USED_SHARE * (ratio * inWindow(calls, service).size() + reserve / instances);
        Deque<Long> sent = inWindow(repeats, service);
        if (sent.size() + 1 > allowed) {
            return false;
        }
        sent.addLast(clock.monotonicMillis());
        return true;
    }

    private Deque<Long> inWindow(Map<String, Deque<Long>> counted, String service) {
        Deque<Long> times = counted.computeIfAbsent(service, name -> new ArrayDeque<>());
        long fromMillis = clock.monotonicMillis() - windowMillis;
        while (!times.isEmpty() && times.getFirst() <= fromMillis) {
            times.removeFirst();
        }
        return times;
    }
}
