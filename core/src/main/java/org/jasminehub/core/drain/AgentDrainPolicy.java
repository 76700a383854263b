package org.jasminehub.core.drain;

import org.jasminehub.core.internal.Checks;

/**
 * Decides how far the planned stop of an agent and its endpoint has got.
 *
 * <p>From the announcement on, entry instances choose other endpoints; requests that were under way are still taken for
 * a few seconds. Operations whose keys live here are taken until their new homes have them, since nobody else may run
 * them. Then the agent finishes what it has, for a bounded time.
 *
 * <p>Immutable.
 */
public final class AgentDrainPolicy {
    private final long announceMillis;
    private final long maxDrainMillis;

    /**
     * Creates a policy.
     *
     * @param announceMillis how long requests may still come from those who have not heard
     * @param maxDrainMillis when the agent stops whatever remains, counted from the start
     */
    public AgentDrainPolicy(long announceMillis, long maxDrainMillis) {
        this.announceMillis = Checks.notNegative("announceMillis", announceMillis);
        this.maxDrainMillis = maxDrainMillis;
        Checks.that(maxDrainMillis > announceMillis, "maxDrainMillis", maxDrainMillis, "above " + announceMillis);
    }

    /**
     * Returns the phase {@code elapsedMillis} after the start.
     *
     * @param openRequests how many requests are still open
     * @param areKeysMoved whether every operation key that lived here has a new home that took it over
     */
    public DrainPhase phase(long elapsedMillis, int openRequests, boolean areKeysMoved) {
        if (elapsedMillis >= maxDrainMillis) {
            return DrainPhase.STOPPED;
        }
        if (elapsedMillis <= announceMillis) {
            return DrainPhase.ANNOUNCED;
        }
        return openRequests > 0 || !areKeysMoved ? DrainPhase.FINISHING : DrainPhase.STOPPED;
    }

    /** Tells whether a new request is taken in {@code phase}; {@code isOwnKey} marks operations whose key lives here. */
    public boolean takes(DrainPhase phase, boolean isOwnKey) {
        return phase == DrainPhase.ANNOUNCED || phase == DrainPhase.FINISHING && isOwnKey;
    }
}
