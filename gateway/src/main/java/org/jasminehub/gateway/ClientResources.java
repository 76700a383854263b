package org.jasminehub.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.jasminehub.core.intake.MemoryBudget;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.net.ServerResources;

/** What the clients of all listeners of a process together may use up. */
final class ClientResources {
    private final MemoryBudget memory;

    ClientResources(ClientSettings settings, Clock clock) {
        this.memory = new MemoryBudget(settings.memoryBytes(Runtime.getRuntime().maxMemory()), clock);
    }

    ServerResources forListener() {
        return new ServerResources(memory);
    }

    /** Registers what clients hold, and each kind of refusal. */
    void register(MetricRegistry metrics, EntryTraffic traffic) {
        metrics.register("clients.memory.limit.bytes", (Gauge<Long>) memory::totalBytes);
        metrics.register("clients.memory.held.bytes", (Gauge<Long>) memory::heldBytes);
        metrics.register("clients.memory.refused", (Gauge<Long>) memory::refusals);
        metrics.register("clients.memory.evicted", (Gauge<Long>) memory::evictions);
        metrics.register("clients.connections", (Gauge<Integer>) traffic::connections);
    }
}
