package org.jasminehub.core.balance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.time.Clock;

/**
 * Limits the retries of this instance to its share of what all instances together may send to a service.
 *
 * <p>When endpoints fail, all instances retry at the same time, and unlimited retries would turn a short fault into an
 * overload. In any window, an instance may retry {@code ratio} times its calls plus an equal share of a fixed reserve.
 *
 * <p>Not thread-safe.
 */
public final class CallRetryBudget {
    /** Usable share of the allowance; the rest covers calls that are counted differently at the edge of a window. */
    private static final double USABLE_SHARE = 0.8;

    private final Clock clock;
    private final double ratio;
    private final double reserve;
    private final long windowMillis;
    private final Map<String, Deque<Long>> calls = new HashMap<>();
    private final Map<String, Deque<Long>> retries = new HashMap<>();
    private int instances = 1;

    /**
     * Creates a budget.
     *
     * @param ratio retries allowed for each call in a window
     * @param reserve additional retries allowed in a window, shared equally by all instances
     * @param windowMillis the length of the window
     */
    public CallRetryBudget(Clock clock, double ratio, double reserve, long windowMillis) {
        this.clock = clock;
        this.ratio = Checks.inRange("ratio", ratio, 0, 1);
        this.reserve = Checks.inRange("reserve", reserve, 0, Integer.MAX_VALUE);
        this.windowMillis = Checks.positive("windowMillis", windowMillis);
    }

    /** Sets the largest number of instances that may be alive, including this one. */
    public void setInstances(int count) {
        instances = (int) Checks.positive("instances", count);
    }

    /** Records a call received from a caller. */
    public void onCall(String service) {
        inWindow(calls, service).addLast(clock.monotonicMillis());
    }

    /** Consumes one retry from the budget, or returns false if none is left. */
    public boolean tryRetry(String service) {
        double allowed = USABLE_SHARE * (ratio * inWindow(calls, service).size() + reserve / instances);
        Deque<Long> sent = inWindow(retries, service);
        if (sent.size() + 1 > allowed) {
            return false;
        }
        sent.addLast(clock.monotonicMillis());
        return true;
    }

    private Deque<Long> inWindow(Map<String, Deque<Long>> timesByService, String service) {
        Deque<Long> times = timesByService.computeIfAbsent(service, name -> new ArrayDeque<>());
        long windowStartMillis = clock.monotonicMillis() - windowMillis;
        while (!times.isEmpty() && times.getFirst() <= windowStartMillis) {
            times.removeFirst();
        }
        return times;
    }
}
