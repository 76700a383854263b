package org.jasminehub.gateway.peer;

import org.jasminehub.core.intake.MemoryBudget;
import org.jasminehub.core.internal.Checks;

/**
 * What the peers that connect to a process may use up.
 *
 * @param memory the memory that they may make the process hold
 * @param maxConnections the connections that the listener keeps open at the same time
 * @param maxMessageBytes the largest message; a parsed message may occupy more than twenty times its size
 */
public record PeerLimits(MemoryBudget memory, int maxConnections, int maxMessageBytes) {
    /** Creates limits; the numbers must be positive. */
    public PeerLimits {
        Checks.positive("maxConnections", maxConnections);
        Checks.positive("maxMessageBytes", maxMessageBytes);
    }
}
