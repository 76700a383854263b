package org.jasminehub.core.lease;

import org.jasminehub.core.internal.Checks;

/**
 * The times of leases; all instances must use the same.
 *
 * @param durationMillis how long a claim or renewal lasts, by its writer's clock, from before its append
 * @param guardMillis how much longer than that the others wait, from when they read the record
 * @param renewIntervalMillis when the holder renews, from before the append of its last accepted record
 * @param resendMillis when an append with no effect seen so far is repeated
 * @param rankDelayMillis how much longer the second-ranked candidate waits than the first, and so on
 */
public record LeaseTerms(
        long durationMillis, long guardMillis, long renewIntervalMillis, long resendMillis, long rankDelayMillis) {
    /** The terms of the shards of control work. */
    public static final LeaseTerms STANDARD = new LeaseTerms(10_000, 1_000, 3_000, 4_000, 2_000);

    /** Creates checked terms. */
    public LeaseTerms {
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
     * Returns how far a clock's rate may be off, as a share of 1, for two instances never to hold one lease together.
     *
     * <p>A holder whose clock is slow holds for {@code duration / (1 - r)}; an observer whose clock is fast waits {@code
     * (duration + guard) / (1 + r)}. The second is no shorter up to {@code r = guard / (2 duration + guard)}.
     */
    public double toleratedDriftShare() {
        return guardMillis / (2.0 * durationMillis + guardMillis);
    }
}
