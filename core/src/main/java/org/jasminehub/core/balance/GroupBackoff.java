package org.jasminehub.core.balance;

import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.time.Clock;

/**
 * Tracks the groups of engines to which no calls are sent for a short back-off period.
 *
 * <p>While a group re-forms, each of its engines refuses every call. Without a back-off, every call would try several
 * engines, use up the retry budget and then be refused, although the group soon accepts calls again. A refusal while
 * streams of the group make progress does not start a back-off: that engine is full, or the call is too large for it.
 *
 * <p>Not thread-safe.
 */
public final class GroupBackoff {
    /**
     * Length of the back-off: about two passes, short enough to notice soon that the group accepts calls again and much
     * shorter than the time in which a group re-forms.
     */
    public static final long BACKOFF_MILLIS = 150;

    /** A working group makes progress on some stream with each pass, which takes less than this time. */
    private static final long PROGRESS_TIMEOUT_MILLIS = 300;

    private final Clock clock;
    private final Map<String, Long> lastProgressMillis = new HashMap<>();
    private final Map<String, Long> backoffEndMillis = new HashMap<>();

    /** Creates a tracker with no group in back-off. */
    public GroupBackoff(Clock clock) {
        this.clock = clock;
    }

    /** Records that a stream of {@code group} made progress, and ends the back-off of the group. */
    public void onProgress(String group) {
        lastProgressMillis.put(group, clock.monotonicMillis());
        backoffEndMillis.remove(group);
    }

    /**
     * Records that an engine of {@code group} refused a call without running it.
     *
     * @return whether the group now backs off for {@link #BACKOFF_MILLIS}
     */
    public boolean onRefused(String group) {
        long nowMillis = clock.monotonicMillis();
        Long lastProgress = lastProgressMillis.get(group);
        if (lastProgress != null && nowMillis - lastProgress < PROGRESS_TIMEOUT_MILLIS) {
            return false;
        }
        backoffEndMillis.put(group, nowMillis + BACKOFF_MILLIS);
        return true;
    }

    /** Returns whether no calls should be sent to {@code group} now. */
    public boolean isBackingOff(String group) {
        Long endMillis = backoffEndMillis.get(group);
        return endMillis != null && clock.monotonicMillis() < endMillis;
    }
}
