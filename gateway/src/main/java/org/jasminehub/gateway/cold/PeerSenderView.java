package org.jasminehub.gateway.cold;

import java.util.List;
import java.util.Set;
import org.jasminehub.core.cold.SenderRanks;
import org.jasminehub.core.cold.SenderView;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.PeerExchange;

/**
 * The senders among the live instances. Instances that accept no callers count as well: their running calls may still be
 * sent again, and views would otherwise differ whenever an instance starts or stops to accept callers.
 *
 * <p>Must be used on the process's event loop only.
 */
final class PeerSenderView implements SenderView {
    /** The live instances are the same for all endpoints and calls within this time. */
    private static final long REFRESH_MILLIS = 100;

    private final PeerExchange peers;
    private final Clock clock;
    private final SenderRanks ranks;
    private long refreshedMillis = Long.MIN_VALUE;

    PeerSenderView(String self, PeerExchange peers, Clock clock) {
        this.peers = peers;
        this.clock = clock;
        this.ranks = new SenderRanks(self);
    }

    @Override
    public int rank(EndpointIncarnation endpoint) {
        refresh();
        return ranks.rank(endpoint);
    }

    @Override
    public int liveInstances() {
        refresh();
        return ranks.liveInstances();
    }

    @Override
    public int knownInstances() {
        refresh();
        return ranks.knownInstances();
    }

    private void refresh() {
        long nowMillis = clock.monotonicMillis();
        if (refreshedMillis != Long.MIN_VALUE && nowMillis - refreshedMillis < REFRESH_MILLIS) {
            return;
        }
        refreshedMillis = nowMillis;
        List<String> names = peers.liveInstances().stream()
                .map(each -> each.instance().getInstance())
                .toList();
        ranks.update(names, peers.knownInstances());
    }

    /** Forgets the order of endpoints that are not registered. */
    void onRegistrations(Set<EndpointIncarnation> registered) {
        ranks.retain(registered);
    }
}
