package org.jasminehub.core.operation;

import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;

/**
 * Identifies one run of an agent's process.
 *
 * @param agent the agent's instance id
 * @param incarnation a number that increases with every start of the process
 */
public record AgentIncarnation(InstanceId agent, long incarnation) {
    /** Creates an incarnation; throws if its number is negative. */
    public AgentIncarnation {
        Checks.notNegative("incarnation", incarnation);
    }

    @Override
    public String toString() {
        return agent + "#" + incarnation;
    }
}
