package org.jasminehub.core.balance;

import org.jasminehub.core.time.Clock;

/**
 * How old a belief is, also where the process stood still meanwhile.
 *
 * <p>The monotonic clock does not count time in which the machine is suspended, and the wall clock may step. The age is
 * the larger of what both say, so a belief can look older than it is but never younger.
 *
 * <p>Not safe for use by several threads.
 */
public final class BeliefAge {
    private final Clock clock;
    private boolean isKnown;
    private long sinceMonotonicMillis;
    private long sinceWallMillis;

    /** Creates the age of something that was never known. */
    public BeliefAge(Clock clock) {
        this.clock = clock;
    }

    /** A moment by both clocks. */
    public record Moment(long monotonicMillis, long wallMillis) {}

    /** Returns the present moment, to be noted when a question is sent. */
    public Moment now() {
        return new Moment(clock.monotonicMillis(), clock.wallMillis());
    }

    /** Notes that the belief was confirmed as of {@code moment}; an earlier moment than the one known is ignored. */
    public void confirm(Moment moment) {
        if (!isKnown || moment.monotonicMillis() >= sinceMonotonicMillis) {
            isKnown = true;
            sinceMonotonicMillis = moment.monotonicMillis();
            sinceWallMillis = moment.wallMillis();
        }
    }

    /** Returns the age in milliseconds, {@link Long#MAX_VALUE} where nothing was ever known. */
    public long millis() {
        if (!isKnown) {
            return Long.MAX_VALUE;
        }
        return Math.max(clock.monotonicMillis() - sinceMonotonicMillis, clock.wallMillis() - sinceWallMillis);
    }
}
