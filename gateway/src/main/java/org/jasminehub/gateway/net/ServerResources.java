package org.jasminehub.gateway.net;

import org.jasminehub.core.intake.MemoryBudget;
import org.jasminehub.core.time.Clock;

/**
 * What the clients of a listener may use up.
 *
 * @param memory the memory that clients may make the process hold, usually shared by all listeners
 */
public record ServerResources(MemoryBudget memory) {
    /** Returns resources without a practical limit, for clients that are part of this system. */
    public static ServerResources unlimited(Clock clock) {
        return new ServerResources(new MemoryBudget(Long.MAX_VALUE, clock));
    }
}
