package org.jasminehub.core.drain;

import org.jasminehub.core.internal.Checks;

/**
 * Decides the phase of a drain of an agent and its endpoint.
 *
 * <p>The drain starts with an announcement, after which entry instances choose other endpoints. For the announcement
 * period the agent still accepts requests, because some entry instances have not received the announcement or have
 * requests in flight. Operations whose keys have their home on this agent are accepted until the keys have moved to
 * their new homes, since no other agent may run them before that. The agent then completes its open requests, for a
 * bounded time.
 *
 * <p>Immutable.
 */
public final class AgentDrainPolicy {
    private final long announceMillis;
    private final long maxDrainMillis;

    /**
     * Creates a policy.
     *
     * @param announceMillis how long requests may arrive from instances that have not received the announcement
     * @param maxDrainMillis the time after the start at which the agent stops even if requests are open
     */
    public AgentDrainPolicy(long announceMillis, long maxDrainMillis) {
        this.announceMillis = Checks.notNegative("announceMillis", announceMillis);
        this.maxDrainMillis = maxDrainMillis;
        Checks.that(maxDrainMillis > announceMillis, "maxDrainMillis", maxDrainMillis, "above " + announceMillis);
    }

    /**
     * Returns the phase at {@code elapsedMillis} after the start.
     *
     * @param openRequests the number of open requests
     * @param areKeysMoved whether every operation key of this agent has moved to its new home
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

    /**
     * Returns whether a new request is accepted in {@code phase}.
     *
     * @param isOwnKey whether the request is an operation whose key has its home on this agent
     */
    public boolean acceptsRequest(DrainPhase phase, boolean isOwnKey) {
        return phase == DrainPhase.ANNOUNCED || phase == DrainPhase.FINISHING && isOwnKey;
    }
}
