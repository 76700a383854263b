package org.jasminehub.gateway.ratelimit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jasminehub.core.experts.placement.CoordinatorChoice;
import org.jasminehub.core.ratelimit.IssuerView;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.PeerExchange;
import org.jasminehub.gateway.control.PeerState;

/**
 * Determines issuers by rendezvous hashing over the live instances that accept callers, as coordinators of groups are.
 * If none accepts callers, all live instances are candidates, since calls that need no workspace are still served.
 *
 * <p>Must be used on the process's event loop only.
 */
final class PeerIssuerView implements IssuerView {
    /** The candidates are the same for all endpoints and calls within this time. */
    private static final long REFRESH_MILLIS = 100;

    private final PeerExchange peers;
    private final Clock clock;
    private final Map<EndpointIncarnation, Optional<String>> issuers = new HashMap<>();
    private List<CoordinatorChoice.Candidate> candidates = List.of();
    private double reachableShare = 1;
    private long refreshedMillis = Long.MIN_VALUE;

    PeerIssuerView(PeerExchange peers, Clock clock) {
        this.peers = peers;
        this.clock = clock;
    }

    @Override
    public Optional<String> issuer(EndpointIncarnation endpoint) {
        refresh();
        return issuers.computeIfAbsent(
                endpoint, each -> CoordinatorChoice.coordinator(each.id().value(), candidates));
    }

    @Override
    public double reachableShare() {
        refresh();
        return reachableShare;
    }

    private void refresh() {
        long nowMillis = clock.monotonicMillis();
        if (refreshedMillis != Long.MIN_VALUE && nowMillis - refreshedMillis < REFRESH_MILLIS) {
            return;
        }
        refreshedMillis = nowMillis;
        List<PeerState> live = peers.liveInstances();
        boolean hasAccepting = live.stream().anyMatch(PeerState::acceptsCallers);
        List<CoordinatorChoice.Candidate> next = live.stream()
                .filter(each -> each.acceptsCallers() || !hasAccepting)
                .map(each -> new CoordinatorChoice.Candidate(
                        each.instance().getInstance(), each.instance().getProcessorCores()))
                .toList();
        if (!next.equals(candidates)) {
            candidates = next;
            issuers.clear();
        }
        reachableShare = Math.min(1, (double) live.size() / peers.knownInstances());
    }
}
