package org.jasminehub.core.operation;

import org.jasminehub.core.internal.Checks;

/**
 * How much an agent remembers of operations.
 *
 * @param maxOperations how many operations it remembers in full; a new one is refused when all are still needed
 * @param maxRevocations how many further operations it can revoke when {@code maxOperations} is reached
 * @param maxResultBytes the largest service answer that it keeps for a repeat
 * @param maxKeptBytes the size of all answers kept; a further one is dropped, and its repeats are told so
 * @param maxExpired how many operations it remembers by name after their window, to refuse late repeats
 */
public record LedgerLimits(
        int maxOperations, int maxRevocations, int maxResultBytes, long maxKeptBytes, int maxExpired) {
    /** Room for 20 operations a second over a window of ten minutes. */
    public static final LedgerLimits DEFAULT = new LedgerLimits(20_000, 5_000, 16_384, 16_777_216, 50_000);

    /** Creates checked limits. */
    public LedgerLimits {
        Checks.positive("maxOperations", maxOperations);
        Checks.positive("maxRevocations", maxRevocations);
        Checks.positive("maxResultBytes", maxResultBytes);
        Checks.positive("maxKeptBytes", maxKeptBytes);
        Checks.notNegative("maxExpired", maxExpired);
    }
}
