package org.jasminehub.gateway.net;

import org.jasminehub.core.intake.DiscardAllowance;
import org.jasminehub.core.intake.MemoryBudget;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.time.Clock;

/**
 * What the clients of a listener may use up.
 *
 * @param memory the memory that clients may make the process hold, usually shared by all listeners
 * @param discards the bytes that are read only to be discarded, usually shared by all listeners
 * @param maxConnections the connections that the listener keeps open at the same time
 */
public record ServerResources(MemoryBudget memory, DiscardAllowance discards, int maxConnections) {
    /** Creates resources; {@code maxConnections} must be positive. */
    public ServerResources {
        Checks.positive("maxConnections", maxConnections);
    }

    /** Returns resources without a practical limit, for clients that are part of this system. */
    public static ServerResources unlimited(Clock clock) {
        return new ServerResources(
                new MemoryBudget(Long.MAX_VALUE, clock),
                new DiscardAllowance(Long.MAX_VALUE, clock),
                Integer.MAX_VALUE);
    }
}
