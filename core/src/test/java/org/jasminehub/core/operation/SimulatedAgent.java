package org.jasminehub.core.operation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** An agent process in the simulation. */
final class SimulatedAgent {
    final AgentIncarnation id;
    final AtMostOnceGuard guard;
    final Map<OperationId, List<Consumer<GuardDecision>>> waiting = new HashMap<>();
    boolean isPaused;
    boolean isDisconnected;

    SimulatedAgent(AgentIncarnation id, AtMostOnceGuard guard) {
        this.id = id;
        this.guard = guard;
    }
}
