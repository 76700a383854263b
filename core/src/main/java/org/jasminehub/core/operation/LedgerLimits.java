package org.jasminehub.core.operation;

import org.jasminehub.core.internal.Checks;

/**
 * The limits of the operation records that an agent keeps.
 *
 * @param maxOperations the number of complete records; a new operation is refused when none of them has expired
 * @param maxRevocations how many more operations can be revoked when {@code maxOperations} is reached
 * @param maxResultBytes the largest response body that is kept for retries
 * @param maxKeptBytes the total size of the response bodies kept; when it is reached, further responses are not kept
 *     and retries of those operations are answered with {@code RESULT_NOT_KEPT}
 * @param maxExpired how many ids of expired operations are kept in order to refuse late retries
 */
public record LedgerLimits(
        int maxOperations, int maxRevocations, int maxResultBytes, long maxKeptBytes, int maxExpired) {
    /** The default limits, which allow 20 operations per second over a window of ten minutes. */
    public static final LedgerLimits DEFAULT = new LedgerLimits(20_000, 5_000, 16_384, 16_777_216, 50_000);

    /** Creates limits; throws if {@code maxExpired} is negative or another limit is not positive. */
    public LedgerLimits {
        Checks.positive("maxOperations", maxOperations);
        Checks.positive("maxRevocations", maxRevocations);
        Checks.positive("maxResultBytes", maxResultBytes);
        Checks.positive("maxKeptBytes", maxKeptBytes);
        Checks.notNegative("maxExpired", maxExpired);
    }
}
