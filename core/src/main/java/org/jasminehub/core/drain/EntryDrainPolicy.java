package org.jasminehub.core.drain;

import org.jasminehub.core.internal.Checks;

/**
 * Decides how far the planned stop of an entry instance has got.
 *
 * <p>It leaves the address list first. A caller may have asked for the list just before that, or asked an instance that
 * had not heard of it, and may keep the answer for its time to live; until then the instance serves everyone and names
 * the new list in its answers. Then it finishes what it has, for a bounded time.
 *
 * <pre>{@code
 * DrainPhase phase = policy.phase(clock.monotonicMillis() - startedMillis, openRequests);
 * }</pre>
 *
 * <p>Immutable.
 */
public final class EntryDrainPolicy {
    private final long listLagMillis;
    private final long addressTtlMillis;
    private final long maxDrainMillis;

    /**
     * Creates a policy.
     *
     * @param listLagMillis how long other instances may go on naming this one
     * @param addressTtlMillis how long a caller may keep an address list
     * @param maxDrainMillis when the instance stops whatever remains, counted from the start
     */
    public EntryDrainPolicy(long listLagMillis, long addressTtlMillis, long maxDrainMillis) {
        this.listLagMillis = Checks.notNegative("listLagMillis", listLagMillis);
        this.addressTtlMillis = Checks.notNegative("addressTtlMillis", addressTtlMillis);
        this.maxDrainMillis = maxDrainMillis;
        long servedMillis = listLagMillis + addressTtlMillis;
        Checks.that(maxDrainMillis > servedMillis, "maxDrainMillis", maxDrainMillis, "above " + servedMillis);
    }

    /** Returns the phase {@code elapsedMillis} after the start, with {@code openRequests} still open. */
    public DrainPhase phase(long elapsedMillis, int openRequests) {
        if (elapsedMillis >= maxDrainMillis) {
            return DrainPhase.STOPPED;
        }
        if (elapsedMillis <= listLagMillis + addressTtlMillis) {
            return DrainPhase.ANNOUNCED;
        }
        return openRequests > 0 ? DrainPhase.FINISHING : DrainPhase.STOPPED;
    }
}
