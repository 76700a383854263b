package org.jasminehub.core.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.time.Clock;

/**
 * Tracks the open calls of each endpoint, sent by this instance and by its peers, and the recent failures.
 *
 * <p>Many instances send calls to few endpoints, and an engine's own load report is a few hundred milliseconds old. The
 * open-call counts that instances exchange are fresher, so instances do not all send to the same endpoint on the basis
 * of one outdated report.
 *
 * <p>Not thread-safe.
 */
public final class EndpointLoads {
    /** Peer data older than this is ignored; the calls of a silent peer end or are cut off within about this time. */
    private static final long MAX_PEER_AGE_MILLIS = 2_000;

    /** Time in which the weight of a failure halves, so that a failed endpoint is tried again within seconds. */
    private static final double FAILURE_HALF_LIFE_MILLIS = 2_500;

    private final Clock clock;
    private final Map<EndpointId, Integer> ownCalls = new HashMap<>();
    private final Map<String, PeerLoads> loadsByPeer = new HashMap<>();

    /**
     * The sum of all peers' open calls. The choice of an endpoint compares all endpoints, so adding up the peers there
     * would cost endpoints times instances for each call.
     */
    private final Map<EndpointId, Integer> peerCalls = new HashMap<>();

    private long oldestReceivedMillis = Long.MAX_VALUE;
    private final Map<EndpointId, Failures> failures = new HashMap<>();
    private final Map<String, Slowdowns> slowdownsBySource = new HashMap<>();

    /** Creates a tracker without open calls. */
    public EndpointLoads(Clock clock) {
        this.clock = clock;
    }

    /** Records that this instance sent a call to {@code endpoint}. */
    public void onSent(EndpointId endpoint) {
        ownCalls.merge(endpoint, 1, Integer::sum);
    }

    /** Records that a call from this instance to {@code endpoint} ended. */
    public void onEnded(EndpointId endpoint) {
        ownCalls.computeIfPresent(endpoint, (id, count) -> count > 1 ? count - 1 : null);
    }

    /** Records that {@code endpoint} served a call successfully. */
    public void onSuccess(EndpointId endpoint) {
        Failures known = failures.get(endpoint);
        if (known != null) {
            known.add(0, clock.monotonicMillis());
        }
    }

    /** Records that {@code endpoint} failed a call: cut it off, returned an error or did not respond in time. */
    public void onFailure(EndpointId endpoint) {
        failures.computeIfAbsent(endpoint, id -> new Failures()).add(1, clock.monotonicMillis());
    }

    /** Replaces the open calls last received from {@code peer}. */
    public void onPeerLoads(String peer, Map<EndpointId, Integer> calls) {
        long nowMillis = clock.monotonicMillis();
        Map<EndpointId, Integer> next = Map.copyOf(calls);
        next.forEach((endpoint, count) -> peerCalls.merge(endpoint, count, Integer::sum));
        PeerLoads previous = loadsByPeer.put(peer, new PeerLoads(nowMillis, next));
        if (previous != null) {
            subtract(previous);
        }
        oldestReceivedMillis = Math.min(oldestReceivedMillis, nowMillis);
    }

    /** Removes the open calls received from {@code peer}. */
    public void forgetPeer(String peer) {
        PeerLoads previous = loadsByPeer.remove(peer);
        if (previous != null) {
            subtract(previous);
        }
    }

    private void subtract(PeerLoads loads) {
        loads.calls()
                .forEach((endpoint, count) -> peerCalls.computeIfPresent(
                        endpoint, (id, total) -> total > count ? Integer.valueOf(total - count) : null));
    }

    private void forgetSilentPeers() {
        long oldestAllowedMillis = clock.monotonicMillis() - MAX_PEER_AGE_MILLIS;
        if (oldestReceivedMillis >= oldestAllowedMillis) {
            return;
        }
        List.copyOf(loadsByPeer.entrySet()).stream()
                .filter(entry -> entry.getValue().receivedMillis() < oldestAllowedMillis)
                .forEach(entry -> forgetPeer(entry.getKey()));
        oldestReceivedMillis = loadsByPeer.values().stream()
                .mapToLong(PeerLoads::receivedMillis)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Replaces the slowdown factors that the instance {@code source} has measured in the groups it coordinates. */
    public void onSlowdowns(String source, Map<EndpointId, Double> slow) {
        slowdownsBySource.put(source, new Slowdowns(clock.monotonicMillis(), Map.copyOf(slow)));
    }

    /** Returns the duration of work at {@code endpoint} relative to normal, or 1 if it is not known to be slow. */
    public double slowdown(EndpointId endpoint) {
        long oldestMillis = clock.monotonicMillis() - MAX_PEER_AGE_MILLIS;
        double slowdown = 1;
        for (Slowdowns measured : slowdownsBySource.values()) {
            if (measured.receivedMillis() >= oldestMillis) {
                slowdown = Math.max(slowdown, measured.byEndpoint().getOrDefault(endpoint, 1.0));
            }
        }
        return slowdown;
    }

    /** Returns the open calls of this instance. */
    public Map<EndpointId, Integer> ownCalls() {
        return Map.copyOf(ownCalls);
    }

    /** Returns the known open calls at {@code endpoint}, from this instance and all peers with recent data. */
    public int openCalls(EndpointId endpoint) {
        forgetSilentPeers();
        return ownCalls.getOrDefault(endpoint, 0) + peerCalls.getOrDefault(endpoint, 0);
    }

    /** Returns the decayed number of recent failures of {@code endpoint}; a failure decays within a few seconds. */
    public double failureWeight(EndpointId endpoint) {
        Failures known = failures.get(endpoint);
        return known == null ? 0 : known.weight(clock.monotonicMillis());
    }

    private record Slowdowns(long receivedMillis, Map<EndpointId, Double> byEndpoint) {}

    private record PeerLoads(long receivedMillis, Map<EndpointId, Integer> calls) {}

    /** An exponentially decaying failure count; each success halves it. */
    private static final class Failures {
        private static final double SUCCESS_FACTOR = 0.5;

        private double weight;
        private long updatedMillis;

        void add(int failed, long nowMillis) {
            weight = failed == 0 ? weight(nowMillis) * SUCCESS_FACTOR : weight(nowMillis) + failed;
            updatedMillis = nowMillis;
        }

        double weight(long nowMillis) {
            return weight * Math.pow(0.5, (nowMillis - updatedMillis) / FAILURE_HALF_LIFE_MILLIS);
        }
    }
}
