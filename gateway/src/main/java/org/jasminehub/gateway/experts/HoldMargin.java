package org.jasminehub.gateway.experts;

import org.jasminehub.core.time.Clock;

/**
 * How far ahead a step is held, so that all ranks are armed before it is due: a group that reaches the held step stands
 * still until then. Not safe for use by several threads.
 */
final class HoldMargin {
    /** The next step may begin while the order travels; the one after it does not. */
    private static final long STEPS = 2;

    /** Added with each hold that fails, since steps then pass faster than their news arrive. */
    private static final long GROWTH_STEPS = 3;

    /** Added while orders get lost: about the time in which a lost one is noticed and given again. */
    private static final long LOST_ORDER_STEPS = 3;

    /** Orders that get lost do so for some seconds. */
    private static final long LOST_ORDER_MILLIS = 5_000;

    private final Clock clock;
    private long steps = STEPS;
    private long orderLostMillis = Long.MIN_VALUE / 2;

    HoldMargin(Clock clock) {
        this.clock = clock;
    }

    long steps() {
        boolean areOrdersLost = clock.monotonicMillis() - orderLostMillis < LOST_ORDER_MILLIS;
        return areOrdersLost ? steps + LOST_ORDER_STEPS : steps;
    }

    void onOrderLost() {
        orderLostMillis = clock.monotonicMillis();
    }

    void onHoldFailed() {
        steps += GROWTH_STEPS;
    }

    /** Forgets failed holds: the change that they belonged to is done. */
    void reset() {
        steps = STEPS;
    }
}
