package org.jasminehub.core.lease;

import org.jasminehub.core.internal.Checks;

/**
 * The durations that govern leases; all instances must use the same values.
 *
 * @param durationMillis how long a claim or renewal is valid on its writer's clock, counted from the start of the
 *     append
 * @param guardMillis how much longer than {@code durationMillis} other instances wait after reading the record, to
 *     allow for differences between clock rates
 * @param renewIntervalMillis how long after the start of the last accepted append the holder renews the lease
 * @param resendMillis how long after an append another one is made if its record has not been read back
 * @param rankDelayMillis the additional waiting time of a candidate for each candidate that ranks before it
 */
public record LeaseTimings(
        long durationMillis, long guardMillis, long renewIntervalMillis, long resendMillis, long rankDelayMillis) {
    /** The timings in use for the leases of shards. */
    public static final LeaseTimings STANDARD = new LeaseTimings(10_000, 1_000, 3_000, 4_000, 2_000);

    /** Creates timings and validates them. */
    public LeaseTimings {
        Checks.positive("durationMillis", durationMillis);
        Checks.positive("guardMillis", guardMillis);
        Checks.positive("renewIntervalMillis", renewIntervalMillis);
        Checks.positive("resendMillis", resendMillis);
        Checks.notNegative("rankDelayMillis", rankDelayMillis);
        Checks.that(
                renewIntervalMillis + resendMillis < durationMillis,
                "renewIntervalMillis + resendMillis",
                renewIntervalMillis + resendMillis,
                "below durationMillis, so that one lost append does not end a lease");
    }

    /**
     * Returns the largest relative deviation of clock rates for which two instances never hold the same lease at once.
     *
     * <p>With a deviation {@code r}, a holder with a slow clock holds the lease for up to {@code duration / (1 - r)},
     * and an observer with a fast clock waits at least {@code (duration + guard) / (1 + r)}. The observer waits long
     * enough if {@code r <= guard / (2 * duration + guard)}.
     */
    public double maxClockDriftRatio() {
        return guardMillis / (2.0 * durationMillis + guardMillis);
    }
}
