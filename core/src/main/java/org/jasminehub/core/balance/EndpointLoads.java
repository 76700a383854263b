package org.jasminehub.core.balance;

import java.util.HashMap;
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
    private final Map<EndpointId, Failures> failures = new HashMap<>();
    private Map<EndpointId, Double> slowdowns = Map.of();
    private long slowdownsMillis;

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
        loadsByPeer.put(peer, new PeerLoads(clock.monotonicMillis(), Map.copyOf(calls)));
    }

    /** Removes the open calls received from {@code peer}. */
    public void forgetPeer(String peer) {
        loadsByPeer.remove(peer);
    }

    /** Replaces the slowdown factors of slow endpoints, as detected here or received from a peer. */
    public void onSlowdowns(Map<EndpointId, Double> slow) {
        slowdowns = Map.copyOf(slow);
        slowdownsMillis = clock.monotonicMillis();
    }

    /** Returns the duration of work at {@code endpoint} relative to normal, or 1 if it is not known to be slow. */
    public double slowdown(EndpointId endpoint) {
        boolean isFresh = clock.monotonicMillis() - slowdownsMillis <= MAX_PEER_AGE_MILLIS;
        return isFresh ? slowdowns.getOrDefault(endpoint, 1.0) : 1.0;
    }

    /** Returns the open calls of this instance. */
    public Map<EndpointId, Integer> ownCalls() {
        return Map.copyOf(ownCalls);
    }

    /** Returns the known open calls at {@code endpoint}, from this instance and all peers with recent data. */
    public int openCalls(EndpointId endpoint) {
        long oldestMillis = clock.monotonicMillis() - MAX_PEER_AGE_MILLIS;
        int calls = ownCalls.getOrDefault(endpoint, 0);
        for (PeerLoads view : loadsByPeer.values()) {
            if (view.receivedMillis() >= oldestMillis) {
                calls += view.calls().getOrDefault(endpoint, 0);
            }
        }
        return calls;
    }

    /** Returns the decayed number of recent failures of {@code endpoint}; a failure decays within a few seconds. */
    public double failureWeight(EndpointId endpoint) {
        Failures known = failures.get(endpoint);
        return known == null ? 0 : known.weight(clock.monotonicMillis());
    }

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
