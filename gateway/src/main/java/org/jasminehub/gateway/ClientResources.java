package org.jasminehub.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.jasminehub.core.intake.DiscardAllowance;
import org.jasminehub.core.intake.MemoryBudget;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.net.ServerResources;
import org.jasminehub.gateway.peer.PeerConnection;
import org.jasminehub.gateway.peer.PeerLimits;

/** What the clients of all listeners of a process together may use up. */
final class ClientResources {
    /** What a link of 1,000 Mbit/s carries, so that callers on such links get refusals whole. */
    private static final long DISCARDED_BYTES_PER_SECOND = 128 << 20;

    private final DescriptorShares descriptors;
    private final MemoryBudget memory;
    private final DiscardAllowance discards;

    ClientResources(ClientSettings settings, DescriptorShares descriptors, Clock clock) {
        this.descriptors = descriptors;
        this.memory = new MemoryBudget(settings.memoryBytes(Runtime.getRuntime().maxMemory()), clock);
        this.discards = new DiscardAllowance(DISCARDED_BYTES_PER_SECOND, clock);
    }

    ServerResources forCallers() {
        return new ServerResources(memory, discards, descriptors.callerConnections());
    }

    ServerResources forDirectory() {
        return new ServerResources(memory, discards, descriptors.directoryConnections());
    }

    ServerResources forOperations() {
        return new ServerResources(memory, discards, descriptors.operationsConnections());
    }

    PeerLimits forPeers() {
        return new PeerLimits(memory, descriptors.peerConnections(), PeerConnection.MAX_MESSAGE_BYTES);
    }

    /** Registers what clients hold, and each kind of refusal, including the connections that {@code traffic} closed. */
    void register(MetricRegistry metrics, EntryTraffic traffic) {
        metrics.register("clients.memory.limit.bytes", (Gauge<Long>) memory::totalBytes);
        metrics.register("clients.memory.held.bytes", (Gauge<Long>) memory::heldBytes);
        metrics.register("clients.memory.refused", (Gauge<Long>) memory::refusals);
        metrics.register("clients.memory.evicted", (Gauge<Long>) memory::evictions);
        metrics.register("clients.discards.refused", (Gauge<Long>) discards::refusals);
        metrics.register("clients.connections", (Gauge<Integer>) traffic::connections);
        metrics.register("clients.connections.closed", (Gauge<Long>) traffic::connectionsOverLimit);
    }
}
