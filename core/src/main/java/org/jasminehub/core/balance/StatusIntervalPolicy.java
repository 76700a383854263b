package org.jasminehub.core.balance;

/**
 * Determines how often an instance tells its peers its open calls.
 *
 * <p>Load pattern: every instance sends its status to every other one, so at a fixed interval the messages that one
 * instance handles grow with the number of instances, and those of the fleet with its square. The interval grows with
 * the number of instances instead, so each instance handles about {@value #MESSAGES_PER_SECOND} messages a second in
 * each direction. The calls of a single instance are then a smaller part of the load of an endpoint, so its older
 * count matters less.
 */
public final class StatusIntervalPolicy {
    /** Messages that an instance sends, and receives, each second. */
    private static final int MESSAGES_PER_SECOND = 200;

    /** About the time between two calls to the same endpoint at high load. */
    private static final long MIN_INTERVAL_MILLIS = 80;

    /** A third of the time after which a silent peer is no longer offered to callers. */
    private static final long MAX_INTERVAL_MILLIS = 300;

    private static final long MILLIS_PER_SECOND = 1_000;

    private StatusIntervalPolicy() {}

    /** Returns the time between two statuses of an instance in a fleet of {@code instances}. */
    public static long intervalMillis(int instances) {
        long peers = Math.max(0, instances - 1);
        return Math.min(
                MAX_INTERVAL_MILLIS, Math.max(MIN_INTERVAL_MILLIS, MILLIS_PER_SECOND * peers / MESSAGES_PER_SECOND));
    }
}
