package org.jasminehub.gateway.experts;

import org.jasminehub.core.time.Clock;

/**
 * Determines how many steps ahead of the current step a hold is placed.
 *
 * <p>All ranks should be armed before the held step is due, because a group that reaches it stops until the step is
 * released. Not thread-safe.
 */
final class HoldMargin {
    /** Initial margin: the next step may begin while the order is in transit, the step after it does not. */
    private static final long STEPS = 2;

    /** Added after each failed hold, because steps then begin faster than the reports about them arrive. */
    private static final long GROWTH_STEPS = 3;

    /** Added while orders are being lost: about the number of steps until a lost order is detected and resent. */
    private static final long LOST_ORDER_STEPS = 3;

    /** How long the margin stays larger after a lost order, because order loss lasts for some seconds. */
    private static final long LOST_ORDER_MILLIS = 5_000;

    private final Clock clock;
    private long steps = STEPS;
    private long lastLostOrderMillis = Long.MIN_VALUE / 2;

    HoldMargin(Clock clock) {
        this.clock = clock;
    }

    long steps() {
        boolean areOrdersLost = clock.monotonicMillis() - lastLostOrderMillis < LOST_ORDER_MILLIS;
        return areOrdersLost ? steps + LOST_ORDER_STEPS : steps;
    }

    void onOrderLost() {
        lastLostOrderMillis = clock.monotonicMillis();
    }

    void onHoldFailed() {
        steps += GROWTH_STEPS;
    }

    /** Resets the margin once the change to which the failed holds belonged is complete. */
    void reset() {
        steps = STEPS;
    }
}
