package org.jasminehub.core.operation;

import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;

/**
 * One start of an agent's process.
 *
 * @param agent the agent's instance
 * @param incarnation a number that grows with every start
 */
public record AgentIncarnation(InstanceId agent, long incarnation) {
    /** Creates a checked name. */
    public AgentIncarnation {
        Checks.notNegative("incarnation", incarnation);
    }

    @Override
    public String toString() {
        return agent + "#" + incarnation;
    }
}
