package org.jasminehub.core.overload;

import org.jasminehub.core.balance.CallQueuePolicy;

/**
 * Estimates how long a call waits for a slot from the queues and the drain rate of all instances.
 *
 * <p>Load pattern: with many instances in front of few endpoints, an instance sees one or two of its own calls end in a
 * second. Its own drain rate says little about when the next slot is free, and its own queue little about who is ahead.
 * Where the fleet is overloaded, calls that no slot can reach in time are refused at once, and callers are told when the
 * queue of the whole fleet will have drained.
 */
final class FleetWaitPolicy {
    private static final double MILLIS_PER_SECOND = 1_000;

    private FleetWaitPolicy() {}

    /**
     * Returns whether a call may wait because it can be expected to get a slot in time.
     *
     * @param ahead the number of calls of all instances that get a slot before it
     * @param equalAhead how many of them have its priority
     * @param leftMillis how much longer it may wait
     */
    static boolean mayWait(int priority, double ahead, double equalAhead, long leftMillis, QueueStatus fleet) {
        return leftMillis > 0
                && (fleet.ended() == 0
                        || CallQueuePolicy.isAcceptableWait(
                                expectedWaitMillis(priority, ahead, equalAhead, fleet), leftMillis));
    }

    /**
     * Returns the time after which a refused caller should retry.
     *
     * @param position the position of this caller within the jitter range, from 0 to 1, both inclusive
     */
    static long retryAfterMillis(int priority, QueueStatus fleet, double position) {
        double equalAhead = fleet.waiting().get(priority);
        double ahead = fleet.waiting().above(priority) + equalAhead;
        return fleet.ended() == 0
                ? CallQueuePolicy.stalledRetryAfterMillis(position)
                : CallQueuePolicy.retryAfterMillis(expectedWaitMillis(priority, ahead, equalAhead, fleet), position);
    }

    /**
     * Calls of higher priority that are yet to come take the slots that they take now, so those are left out. The slots
     * that are guaranteed to the priority do not wait for calls of higher priority.
     */
    private static double expectedWaitMillis(int priority, double ahead, double equalAhead, QueueStatus fleet) {
        double residualPerSecond = fleet.ended() - fleet.started().above(priority);
        double guaranteedPerSecond = SlotPolicy.GUARANTEED_SHARE * fleet.demandShare(priority) * fleet.ended();
        return Math.min(waitMillis(ahead, residualPerSecond), waitMillis(equalAhead, guaranteedPerSecond));
    }

    private static double waitMillis(double ahead, double perSecond) {
        return perSecond <= 0 ? Double.MAX_VALUE : (ahead + 1) * MILLIS_PER_SECOND / perSecond;
    }
}
