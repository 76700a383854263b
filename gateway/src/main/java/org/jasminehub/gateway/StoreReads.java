package org.jasminehub.gateway;

import java.util.function.IntSupplier;
import org.jasminehub.gateway.control.ConfigurationReads;
import org.jasminehub.gateway.control.FollowerSettings;

/** Determines how an entry instance reads the logs of the store. */
final class StoreReads {
    private static final long TIMEOUT_MILLIS = 600;

    /** Registrations change constantly, so they are polled; a failed poll can be repeated within the drain time. */
    private static final double ENDPOINT_READS_PER_DRAIN = 2.5;

    /** Longest time between two polls, so that new and restarted endpoints receive calls soon. */
    private static final long MAX_ENDPOINT_POLL_MILLIS = 2_000;

    /** Other instances rarely start or stop, so a read may wait for several seconds. */
    private static final long INSTANCE_WAIT_MILLIS = 8_000;

    /**
     * A mass start or a restore makes all instances and agents register within about two seconds. Reading each
     * registration for itself took one call for each registration and instance; this is a few calls for each instance,
     * and well below the 0.9 s after which a silent peer is no longer offered to callers.
     */
    private static final long INSTANCE_BATCH_MILLIS = 250;

    private StoreReads() {}

    /** Returns the settings of {@code reads} in a fleet of {@code instances}. */
    static FollowerSettings configuration(ConfigurationReads reads, IntSupplier instances) {
        return reads.settings(instances, TIMEOUT_MILLIS);
    }

    /** Returns the reads of registrations if draining endpoints must get no calls after {@code drainMillis}. */
    static FollowerSettings endpoints(double drainMillis) {
        long pauseMillis = Math.min(MAX_ENDPOINT_POLL_MILLIS, (long) (drainMillis / ENDPOINT_READS_PER_DRAIN));
        return FollowerSettings.polling(pauseMillis, TIMEOUT_MILLIS);
    }

    /** Returns the reads of the instances' registrations. */
    static FollowerSettings instances() {
        return FollowerSettings.batching(() -> INSTANCE_WAIT_MILLIS, INSTANCE_BATCH_MILLIS, TIMEOUT_MILLIS);
    }
}
