package org.jasminehub.core.overload;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jasminehub.core.time.Clock;

/**
 * The queues of the other entry instances, by service.
 *
 * <p>A status counts for 1 s after its receipt. Peers send one at least every 300 ms, so a peer whose statuses are lost
 * or that is frozen is left out after three of them, and without any status an instance decides by its own queue.
 *
 * <p>The sums are updated with each status, because each decision about a slot reads them. Memory is one status for each
 * service with load and peer.
 *
 * <p>Not thread-safe.
 */
public final class FleetQueues {
    /** How long a status counts after its receipt. */
    static final long MAX_AGE_MILLIS = 1_000;

    private final Clock clock;

    /** In the order of receipt. */
    private final Map<String, PeerQueues> queuesByPeer = new LinkedHashMap<>();

    private final Map<Integer, QueueStatus> sums = new HashMap<>();

    /** Creates the view of an instance that has received no status. */
    public FleetQueues(Clock clock) {
        this.clock = clock;
    }

    /** Replaces the queues last received from {@code peer}, by the hashes of their services. */
    public void onPeerStatus(String peer, Map<Integer, QueueStatus> queues) {
        removeExpired();
        PeerQueues previous = queuesByPeer.remove(peer);
        if (previous != null) {
            subtract(previous);
        }
        queuesByPeer.put(peer, new PeerQueues(clock.monotonicMillis(), Map.copyOf(queues)));
        queues.forEach((service, status) -> sums.merge(service, status, QueueStatus::plus));
    }

    /** Returns the sum of the queues of the service at all peers whose last status counts. */
    public QueueStatus peers(int serviceHash) {
        removeExpired();
        return sums.getOrDefault(serviceHash, QueueStatus.IDLE);
    }

    /** Returns the number of peers whose last status counts. */
    public int peerCount() {
        removeExpired();
        return queuesByPeer.size();
    }

    private void removeExpired() {
        long oldestMillis = clock.monotonicMillis() - MAX_AGE_MILLIS;
        Iterator<PeerQueues> inReceiptOrder = queuesByPeer.values().iterator();
        while (inReceiptOrder.hasNext()) {
            PeerQueues queues = inReceiptOrder.next();
            if (queues.receivedMillis() >= oldestMillis) {
                return;
            }
            inReceiptOrder.remove();
            subtract(queues);
        }
    }

    private void subtract(PeerQueues queues) {
        queues.byService()
                .forEach((service, status) -> sums.computeIfPresent(service, (hash, sum) -> {
                    QueueStatus rest = sum.minus(status);
                    return rest.equals(QueueStatus.IDLE) ? null : rest;
                }));
    }

    private record PeerQueues(long receivedMillis, Map<Integer, QueueStatus> byService) {}
}
