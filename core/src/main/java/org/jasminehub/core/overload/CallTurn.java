package org.jasminehub.core.overload;

import org.jasminehub.core.balance.CallQueuePolicy;
import org.jasminehub.core.serving.Route;

/**
 * The order of calls of one priority by what their callers can still gain; earlier constants go first.
 *
 * <p>The time since the first attempt of a caller is the route's time limit less what the call still allows. It is known
 * at every instance without messages, however often the caller changed the instance.
 */
public enum CallTurn {
    /** The call can still meet the target latency of its route. */
    IN_TIME,
    /** The call was refused and came back when it was told, when most calls are late at any rate. */
    LATE,
    /** The call exceeds the equal share of its workspace while its priority gets too few slots. */
    BEYOND_SHARE,
    /** The call came back earlier than any refused caller is told. */
    REPEATED_AT_ONCE;

    /**
     * A first attempt allows the full time limit of its route. The tolerance covers rounding by callers; a longer one
     * would let a caller on the same network repeat several times within it.
     */
    private static final long FIRST_ATTEMPT_TOLERANCE_MILLIS = 5;

    /** Returns the turn of a call that allows {@code allowedMillis} on arrival. */
    public static CallTurn of(Route route, long allowedMillis) {
        long sinceFirstMillis = sinceFirstAttemptMillis(route, allowedMillis);
        if (isFirstAttempt(sinceFirstMillis)) {
            return IN_TIME;
        }
        if (sinceFirstMillis < CallQueuePolicy.EARLIEST_RETRY_MILLIS) {
            return REPEATED_AT_ONCE;
        }
        return LATE;
    }

    /** Returns the time between the first attempt of a caller and this one. */
    public static long sinceFirstAttemptMillis(Route route, long allowedMillis) {
        return Math.max(0, route.timeoutMillis() - allowedMillis);
    }

    static boolean isFirstAttempt(long sinceFirstMillis) {
        return sinceFirstMillis <= FIRST_ATTEMPT_TOLERANCE_MILLIS;
    }
}
