package org.jasminehub.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.overload.CallTurn;
import org.jasminehub.core.overload.QueuedCall;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.wire.generated.PeerStatus;
import org.jasminehub.wire.generated.ServiceQueueStatus;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class SharedQueuesTest {
    private static final String SERVICE = "engines";

    private final ManualClock clock = new ManualClock(10_000);
    private final List<Event> events = new ArrayList<>();
    private final MetricRegistry metrics = new MetricRegistry();
    private int instances = 1;
    private boolean hasSeveralPriorities = true;

    private SharedQueues queues(int minInstances) {
        SharedQueues queues = new SharedQueues(
                "entry-1",
                minInstances,
                () -> instances,
                service -> hasSeveralPriorities,
                clock,
                new SplittableRandom(1),
                events::add);
        queues.register(metrics);
        queues.queue(SERVICE).add(new QueuedCall(1, CallTurn.IN_TIME, "w", 9_000, true, 0));
        return queues;
    }

    private static PeerStatus statusOf(SharedQueues queues) {
        PeerStatus.Builder status = PeerStatus.newBuilder();
        queues.addTo(status);
        return status.build();
    }

    private static PeerStatus waiting(int... calls) {
        ServiceQueueStatus.Builder queue = ServiceQueueStatus.newBuilder().setServiceHash(SERVICE.hashCode());
        for (int count : calls) {
            queue.addWaitingByPriority(count);
        }
        return PeerStatus.newBuilder().addQueues(queue).build();
    }

    private int gauge(String name) {
        return ((Number) metrics.getGauges().get(name).getValue()).intValue();
    }

    private List<EventKind> kinds() {
        return events.stream().map(Event::kind).toList();
    }

    @Nested
    final class Settings {
        /** Guards against a change for services whose calls all have the same priority. */
        @Test
        void testTheQueueOfAServiceWithASinglePriorityIsNotShared() {
            instances = 500;
            hasSeveralPriorities = false;
            SharedQueues queues = queues(1);

            assertEquals(PeerStatus.getDefaultInstance(), statusOf(queues));
            assertFalse(queues.isActive(SERVICE));
        }

        /** Guards against a change for deployments that did not ask for the part. */
        @Test
        void testNothingIsSentOrKeptIfTurnedOff() {
            instances = 500;
            SharedQueues queues = queues(0);

            assertEquals(PeerStatus.getDefaultInstance(), statusOf(queues));
            queues.onPeerStatus("entry-2", waiting(7));

            assertFalse(queues.isActive(SERVICE));
            assertFalse(queues.isConfigured());
            assertEquals(0, gauge("queues.peers"));
            assertEquals(List.of(), events);
        }

        @Test
        void testQueuesAreSharedFromTheStatedNumberOfInstances() {
            SharedQueues queues = queues(3);
            instances = 2;
            assertEquals(PeerStatus.getDefaultInstance(), statusOf(queues));
            assertFalse(queues.isActive(SERVICE));

            instances = 3;
            assertEquals(1, statusOf(queues).getQueuesCount());
            statusOf(queues);
            assertTrue(queues.isActive(SERVICE));

            instances = 2;
            assertEquals(0, statusOf(queues).getQueuesCount());
            assertEquals(List.of(QueueEventKind.QUEUES_SHARED, QueueEventKind.QUEUES_SHARED), kinds());
        }
    }

    @Nested
    final class Statuses {
        @Test
        void testStatusNamesServicesWithCallsOnly() {
            SharedQueues queues = queues(1);
            queues.queue("idle");

            PeerStatus status = statusOf(queues);

            assertEquals(waiting(0, 1), status);
        }

        @Test
        void testPeersQueuesAreCounted() {
            SharedQueues queues = queues(1);
            queues.onPeerStatus("entry-2", waiting(2, 3));
            queues.onPeerStatus("entry-3", waiting(1));

            assertEquals(2, gauge("queues.peers"));
            assertEquals(6, gauge("queues.waiting.peers"));
            assertEquals(1, gauge("queues.waiting"));
        }

        /** Guards against an own status that comes back through a connection to this instance. */
        @Test
        void testOwnStatusIsNotCounted() {
            SharedQueues queues = queues(1);
            queues.onPeerStatus("entry-1", waiting(2));

            assertEquals(0, gauge("queues.waiting.peers"));
        }

        /** Guards against a malformed status that stops the low priorities of all instances, or floods the log. */
        @Test
        void testInvalidStatusIsLeftOutAndLoggedOnce() {
            SharedQueues queues = queues(1);
            queues.onPeerStatus("entry-2", waiting(5));

            queues.onPeerStatus("entry-2", waiting(-1));
            queues.onPeerStatus("entry-2", waiting(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1));

            assertEquals(0, gauge("queues.waiting.peers"));
            assertEquals(List.of(QueueEventKind.QUEUE_STATUS_REJECTED), kinds());

            queues.onPeerStatus("entry-2", waiting(4));
            assertEquals(4, gauge("queues.waiting.peers"));
        }
    }
}
