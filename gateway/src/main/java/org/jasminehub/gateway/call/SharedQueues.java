package org.jasminehub.gateway.call;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jasminehub.core.balance.StatusIntervalPolicy;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.overload.FleetQueues;
import org.jasminehub.core.overload.QueueStatus;
import org.jasminehub.core.overload.SharedServiceQueue;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.PeerExtension;
import org.jasminehub.wire.generated.PeerStatus;
import org.jasminehub.wire.generated.ServiceQueueStatus;

/**
 * Exchanges the queues of this instance with those of its peers, and decides whether they are shared.
 *
 * <p>Queues are shared from a number of entry instances that the settings state. With fewer, or with 0 in the settings,
 * nothing is sent and each instance decides by its own queue.
 *
 * <p>Must be used on the process's event loop only.
 */
public final class SharedQueues implements PeerExtension {
    /** More services than a configuration has; a bound for what a malformed status can occupy. */
    private static final int MAX_SERVICES = 256;

    private final String self;
    private final int minInstances;
    private final IntSupplier instances;
    private final Predicate<String> hasSeveralPriorities;
    private final Clock clock;
    private final RandomGenerator random;
    private final EventSink events;
    private final FleetQueues fleet;
    private final Map<String, SharedServiceQueue> queues = new TreeMap<>();
    private final Set<String> rejectedPeers = new HashSet<>();
    private boolean isActive;

    /**
     * Creates the shared queues of the instance {@code self}.
     *
     * @param minInstances the number of entry instances from which queues are shared, 0 for never
     * @param instances an upper bound for the number of entry instances
     * @param hasSeveralPriorities whether the routes to a service have different priorities; the queues of others are
     *     not shared
     */
    public SharedQueues(
            String self,
            int minInstances,
            IntSupplier instances,
            Predicate<String> hasSeveralPriorities,
            Clock clock,
            RandomGenerator random,
            EventSink events) {
        this.self = self;
        this.minInstances = minInstances;
        this.instances = instances;
        this.hasSeveralPriorities = hasSeveralPriorities;
        this.clock = clock;
        this.random = random;
        this.events = events;
        this.fleet = new FleetQueues(clock);
    }

    /** Registers the calls that wait here and at peers, and how often a free slot was left to peers. */
    public void register(MetricRegistry metrics) {
        metrics.register("queues.shared", (Gauge<Integer>) () -> isActive ? 1 : 0);
        metrics.register("queues.peers", (Gauge<Integer>) fleet::peerCount);
        metrics.register("queues.waiting", (Gauge<Integer>) () -> queues.values().stream()
                .mapToInt(queue -> queue.status().waiting().total())
                .sum());
        metrics.register("queues.waiting.peers", (Gauge<Integer>) () -> queues.keySet().stream()
                .mapToInt(service -> fleet.peers(service.hashCode()).waiting().total())
                .sum());
        metrics.register("queues.slots.left", (Gauge<Long>) () -> queues.values().stream()
                .mapToLong(SharedServiceQueue::slotsLeft)
                .sum());
    }

    /** Returns whether the calls of {@code service} are ordered across all instances at present. */
    boolean isActive(String service) {
        return isActive && hasSeveralPriorities.test(service);
    }

    /** Returns whether they can become ordered across all instances, so that their calls must be counted. */
    boolean isConfigured() {
        return minInstances > 0;
    }

    SharedServiceQueue queue(String service) {
        return queues.computeIfAbsent(service, each -> new SharedServiceQueue(clock, fleet, each, random));
    }

    @Override
    public void addTo(PeerStatus.Builder status) {
        update();
        if (isActive) {
            queues.forEach((service, queue) -> {
                QueueStatus own = queue.status();
                if (hasSeveralPriorities.test(service) && !own.equals(QueueStatus.IDLE)) {
                    status.addQueues(encode(service.hashCode(), own));
                }
            });
        }
    }

    private void update() {
        int known = minInstances == 0 ? 0 : instances.getAsInt();
        boolean isNowActive = minInstances > 0 && known >= minInstances;
        if (isNowActive != isActive) {
            isActive = isNowActive;
            events.emit(new QueueEvent(
                    QueueEventKind.QUEUES_SHARED,
                    self,
                    (isActive ? "shared" : "not shared") + " among " + known + " instances"));
        }
        if (isActive) {
            long intervalMillis = StatusIntervalPolicy.intervalMillis(known);
            queues.values().forEach(queue -> queue.setStatusIntervalMillis(intervalMillis));
        }
    }

    @Override
    public void onPeerStatus(String instance, PeerStatus status) {
        if (minInstances == 0 || instance.equals(self)) {
            return;
        }
        Map<Integer, QueueStatus> byService = new HashMap<>();
        boolean isValid = status.getQueuesCount() <= MAX_SERVICES;
        for (int index = 0; isValid && index < status.getQueuesCount(); index++) {
            ServiceQueueStatus encoded = status.getQueues(index);
            Optional<QueueStatus> queue = decode(encoded);
            queue.ifPresent(each -> byService.put(encoded.getServiceHash(), each));
            isValid = queue.isPresent();
        }
        if (isValid) {
            rejectedPeers.remove(instance);
        } else if (rejectedPeers.size() < MAX_SERVICES && rejectedPeers.add(instance)) {
            events.emit(new QueueEvent(
                    QueueEventKind.QUEUE_STATUS_REJECTED, instance, status.getQueuesCount() + " queues in a status"));
        }
        fleet.onPeerStatus(instance, isValid ? byService : Map.of());
    }

    private static ServiceQueueStatus encode(int serviceHash, QueueStatus status) {
        return ServiceQueueStatus.newBuilder()
                .setServiceHash(serviceHash)
                .addAllWaitingByPriority(status.waiting().toList())
                .setEndedPerSecond(status.ended())
                .addAllStartedByPriority(status.started().toList())
                .addAllRefusedByPriority(status.refused().toList())
                .build();
    }

    private static Optional<QueueStatus> decode(ServiceQueueStatus encoded) {
        return QueueStatus.parse(
                encoded.getWaitingByPriorityList(),
                encoded.getStartedByPriorityList(),
                encoded.getRefusedByPriorityList(),
                encoded.getEndedPerSecond());
    }
}
