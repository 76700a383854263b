package org.jasminehub.core.balance;

import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.time.Clock;

/**
 * Groups of engines that take no calls for a moment.
 *
 * <p>Load pattern: while a group forms anew, each of its engines refuses each call. Without a pause every call tries
 * several engines, uses up the budget for repeats and is then refused itself, although the group is back soon. A single
 * refusal with streams going on is no sign of that: that engine is full, or the call is too large for it.
 *
 * <p>Not safe for use by several threads.
 */
public final class GroupPauses {
    /** About two passes: soon enough to notice that the group is back, and far less than what forming it takes. */
    public static final long PAUSE_MILLIS = 150;

    /** A group that works shows progress of some stream with each pass. */
    private static final long PROGRESS_MILLIS = 300;

    private final Clock clock;
    private final Map<String, Long> progressedMillis = new HashMap<>();
    private final Map<String, Long> pausedUntilMillis = new HashMap<>();

    /** Creates pauses of no group. */
    public GroupPauses(Clock clock) {
        this.clock = clock;
    }

    /** Notes that a stream of {@code group} has made progress: it works. */
    public void onProgress(String group) {
        progressedMillis.put(group, clock.monotonicMillis());
        pausedUntilMillis.remove(group);
    }

    /**
     * Notes that an engine of {@code group} refused a call that it has not run.
     *
     * @return whether the group is paused for {@link #PAUSE_MILLIS} now
     */
    public boolean onRefused(String group) {
        long nowMillis = clock.monotonicMillis();
        Long progressed = progressedMillis.get(group);
        if (progressed != null && nowMillis - progressed < PROGRESS_MILLIS) {
            return false;
        }
        pausedUntilMillis.put(group, nowMillis + PAUSE_MILLIS);
        return true;
    }

    /** Returns whether {@code group} takes no calls now. */
    public boolean isPaused(String group) {
        Long until = pausedUntilMillis.get(group);
        return until != null && clock.monotonicMillis() < until;
    }
}
