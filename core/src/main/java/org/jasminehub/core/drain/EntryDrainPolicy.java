package org.jasminehub.core.drain;

import org.jasminehub.core.internal.Checks;

/**
 * Decides the phase of a drain of an entry instance.
 *
 * <p>The instance first removes itself from the address list. A caller may have fetched the list just before, or from
 * an instance that did not know of the drain yet, and may cache it for its time to live. Until that time has passed the
 * instance serves all callers and includes the new list in its responses. It then completes its open requests, for a
 * bounded time.
 *
 * <pre>{@code
 * DrainPhase phase = policy.phase(clock.monotonicMillis() - startedMillis, openRequests);
 * }</pre>
 *
 * <p>Immutable.
 */
public final class EntryDrainPolicy {
    private final long announcedMillis;
    private final long maxDrainMillis;

    /**
     * Creates a policy.
     *
     * @param listLagMillis how long other instances may still list this instance
     * @param addressTtlMillis how long a caller may cache an address list
     * @param maxDrainMillis the time after the start at which the instance stops even if requests are open
     */
    public EntryDrainPolicy(long listLagMillis, long addressTtlMillis, long maxDrainMillis) {
        this.announcedMillis = Checks.notNegative("listLagMillis", listLagMillis)
                + Checks.notNegative("addressTtlMillis", addressTtlMillis);
        this.maxDrainMillis = maxDrainMillis;
        Checks.that(maxDrainMillis > announcedMillis, "maxDrainMillis", maxDrainMillis, "above " + announcedMillis);
    }

    /** Returns the phase at {@code elapsedMillis} after the start, with {@code openRequests} still open. */
    public DrainPhase phase(long elapsedMillis, int openRequests) {
        if (elapsedMillis >= maxDrainMillis) {
            return DrainPhase.STOPPED;
        }
        if (elapsedMillis <= announcedMillis) {
            return DrainPhase.ANNOUNCED;
        }
        return openRequests > 0 ? DrainPhase.FINISHING : DrainPhase.STOPPED;
    }

    /**
     * Returns whether a request is accepted that arrives at {@code elapsedMillis} after the start. Callers that use the
     * address longer than they should are served only if the instance cannot stop before their response is complete.
     *
     * @param limitMillis the time within which the request ends in any case
     */
    public boolean accepts(long elapsedMillis, long limitMillis) {
        return elapsedMillis <= announcedMillis || elapsedMillis + limitMillis <= maxDrainMillis;
    }
}
