package org.jasminehub.core.operation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** One agent process of a simulated schedule. */
final class SimulatedAgent {
    final AgentIncarnation id;
    final HomeGuard guard;
    final Map<OperationId, List<Consumer<GuardDecision>>> waiting = new HashMap<>();
    boolean isFrozen;
    boolean isCutOff;

    SimulatedAgent(AgentIncarnation id, HomeGuard guard) {
        this.id = id;
        this.guard = guard;
    }
}
