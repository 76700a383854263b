package org.jasminehub.core.balance;

import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.time.Clock;

/**
 * How many calls each endpoint has in hand, sent by this instance and by its peers, and how it failed lately.
 *
 * <p>Load pattern: many instances place calls on few endpoints, and an engine's own report is some hundred milliseconds
 * old. What instances tell each other of their open calls is younger, so herding on one old report does not happen.
 *
 * <p>Not safe for use by several threads.
 */
public final class EndpointLoads {
    /** A peer that has been silent for longer has no say; its calls end or are cut within about this time. */
    private static final long PEER_VIEW_MILLIS = 2_000;

    /** After this time half of a failure's weight is gone, so that an endpoint is tried again within seconds. */
    private static final double FAILURE_HALF_LIFE_MILLIS = 2_500;

    private final Clock clock;
    private final Map<EndpointId, Integer> own = new HashMap<>();
    private final Map<String, PeerView> peers = new HashMap<>();
    private final Map<EndpointId, Failures> failures = new HashMap<>();
    private Map<EndpointId, Double> paces = Map.of();
    private long pacesMillis;

    /** Creates loads without a call. */
    public EndpointLoads(Clock clock) {
        this.clock = clock;
    }

    /** Notes that this instance has sent a call to {@code endpoint}. */
    public void onSent(EndpointId endpoint) {
        own.merge(endpoint, 1, Integer::sum);
    }

    /** Notes that a call of this instance has ended. */
    public void onEnded(EndpointId endpoint) {
        own.computeIfPresent(endpoint, (id, count) -> count > 1 ? count - 1 : null);
    }

    /** Notes that {@code endpoint} served a call well. */
    public void onSuccess(EndpointId endpoint) {
        Failures known = failures.get(endpoint);
        if (known != null) {
            known.add(0, clock.monotonicMillis());
        }
    }

    /** Notes that {@code endpoint} failed a call: cut it, gave an error or no answer in time. */
    public void onFailure(EndpointId endpoint) {
        failures.computeIfAbsent(endpoint, id -> new Failures()).add(1, clock.monotonicMillis());
    }

    /** Takes the open calls of {@code peer}, which replace what it said before. */
    public void onPeerLoads(String peer, Map<EndpointId, Integer> calls) {
        peers.put(peer, new PeerView(clock.monotonicMillis(), Map.copyOf(calls)));
    }

    /** Forgets what {@code peer} said. */
    public void forgetPeer(String peer) {
        peers.remove(peer);
    }

    /** Takes what a peer says of endpoints that are slow; it replaces what was said before. */
    public void onPaces(Map<EndpointId, Double> slow) {
        paces = Map.copyOf(slow);
        pacesMillis = clock.monotonicMillis();
    }

    /** Returns how many times as long the endpoint's work takes, 1 where nobody says that it is slow. */
    public double pace(EndpointId endpoint) {
        boolean isFresh = clock.monotonicMillis() - pacesMillis <= PEER_VIEW_MILLIS;
        return isFresh ? paces.getOrDefault(endpoint, 1.0) : 1.0;
    }

    /** Returns the open calls of this instance. */
    public Map<EndpointId, Integer> ownCalls() {
        return Map.copyOf(own);
    }

    /** Returns all open calls at {@code endpoint}, as far as known here. */
    public int openCalls(EndpointId endpoint) {
        long sinceMillis = clock.monotonicMillis() - PEER_VIEW_MILLIS;
        int calls = own.getOrDefault(endpoint, 0);
        for (PeerView view : peers.values()) {
            if (view.takenMillis() >= sinceMillis) {
                calls += view.calls().getOrDefault(endpoint, 0);
            }
        }
        return calls;
    }

    /** Returns how many failures weigh on {@code endpoint} now; each loses its weight over a few seconds. */
    public double failureWeight(EndpointId endpoint) {
        Failures known = failures.get(endpoint);
        return known == null ? 0 : known.weight(clock.monotonicMillis());
    }

    private record PeerView(long takenMillis, Map<EndpointId, Integer> calls) {}

    /** Failures that fade with time; a success halves what is left. */
    private static final class Failures {
        private static final double SUCCESS_FACTOR = 0.5;

        private double weight;
        private long atMillis;

        void add(int failed, long nowMillis) {
            weight = failed == 0 ? weight(nowMillis) * SUCCESS_FACTOR : weight(nowMillis) + failed;
            atMillis = nowMillis;
        }

        double weight(long nowMillis) {
            return weight * Math.pow(0.5, (nowMillis - atMillis) / FAILURE_HALF_LIFE_MILLIS);
        }
    }
}
