package org.jasminehub.core.ratelimit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.jasminehub.core.experts.placement.CoordinatorChoice;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.ManualClock;

/**
 * A model of instances that share the limits of endpoints, with a seeded network between them. Instances can be killed,
 * frozen and split; each learns of it only after a time-out of its own.
 */
final class PermitFleet {
    private static final long STEP_MILLIS = 10;
    private static final long TICK_MILLIS = 50;
    private static final int MAX_DELAY_MILLIS = 15;
    private static final int MAX_RESPONSE_MILLIS = 250;
    private static final long MAX_WAIT_MILLIS = 300;
    private static final long PEER_TIMEOUT_MILLIS = 900;
    private static final int PEER_TIMEOUT_SPREAD_MILLIS = 300;

    private record Event(long atMillis, long sequence, Runnable action) {}

    private record Arrival(EndpointIncarnation endpoint, long atMillis) {}

    private final ManualClock clock = new ManualClock(0);
    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final List<EndpointRecord> endpoints = new ArrayList<>();
    private final Map<EndpointIncarnation, Double> limits = new HashMap<>();
    private final PriorityQueue<Event> queue =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private final List<Arrival> arrivals = new ArrayList<>();
    private final double callsPerSecond;
    private long sequence;
    private int splitAt;

    /** Creates a fleet in which each of {@code endpointCount} endpoints states {@code limit}. */
    PermitFleet(long seed, int instances, int endpointCount, double limit, double callsPerSecond) {
        this.random = new Random(seed);
        this.callsPerSecond = callsPerSecond;
        for (int index = 0; index < endpointCount; index++) {
            EndpointRecord endpoint = new EndpointRecord(
                    new EndpointId("e-" + index), 1, "s", "10.0.0.1", 80, new FailureDomain("a"), 8, false, null);
            endpoints.add(endpoint);
            limits.put(endpoint.incarnation(), limit);
        }
        for (int index = 0; index < instances; index++) {
            nodes.add(new Node(index));
        }
        nodes.forEach(Node::start);
    }

    long nowMillis() {
        return clock.monotonicMillis();
    }

    void run(long millis) {
        long endMillis = nowMillis() + millis;
        while (nowMillis() < endMillis) {
            clock.advanceMillis(STEP_MILLIS);
            while (!queue.isEmpty() && queue.peek().atMillis() <= nowMillis()) {
                queue.poll().action().run();
            }
            nodes.forEach(Node::step);
        }
    }

    private void after(long millis, Runnable action) {
        queue.add(new Event(nowMillis() + millis, sequence++, action));
    }

    /** Kills an instance; it starts again after {@code millis}, without memory. */
    void kill(int index, long millis) {
        Node node = nodes.get(index);
        node.isRunning = false;
        node.incarnation++;
        after(millis, node::start);
    }

    /** Stops an instance for {@code millis}; it goes on with what it knew. */
    void freeze(int index, long millis) {
        nodes.get(index).frozenUntilMillis = nowMillis() + millis;
    }

    /** Cuts the instances below {@code index} from the others; 0 ends the cut. */
    void splitAt(int index) {
        splitAt = index;
    }

    void setLimit(double limit) {
        limits.replaceAll((endpoint, previous) -> limit);
    }

    /** Returns the most requests that an endpoint got in any span of {@code windowMillis} that begins in the range. */
    long maxRequests(long fromMillis, long toMillis, long windowMillis) {
        Map<EndpointIncarnation, TreeMap<Long, Integer>> times = new HashMap<>();
        arrivals.forEach(each ->
                times.computeIfAbsent(each.endpoint(), key -> new TreeMap<>()).merge(each.atMillis(), 1, Integer::sum));
        long most = 0;
        for (TreeMap<Long, Integer> byTime : times.values()) {
            for (long start : byTime.subMap(fromMillis, toMillis).keySet()) {
                long count = byTime.subMap(start, start + windowMillis).values().stream()
                        .mapToInt(Integer::intValue)
                        .sum();
                most = Math.max(most, count);
            }
        }
        return most;
    }

    /** Returns how many requests all endpoints got in the given time. */
    long requests(long fromMillis, long toMillis) {
        return arrivals.stream()
                .filter(each -> each.atMillis() >= fromMillis && each.atMillis() < toMillis)
                .count();
    }

    /** One instance. */
    private final class Node implements IssuerView {
        private final int index;
        private final Map<Integer, Long> lastSeenMillis = new HashMap<>();
        private final Map<EndpointIncarnation, Optional<String>> issuers = new HashMap<>();
        private final Deque<Long> waitingUntilMillis = new ArrayDeque<>();
        private List<CoordinatorChoice.Candidate> candidates = List.of();
        private EndpointRateLimits known = new EndpointRateLimits(clock);
        private RatePermits permits = newPermits();
        private long peerTimeoutMillis;
        private long nextTickMillis;
        private long frozenUntilMillis;
        private boolean isRunning;
        private int incarnation;

        Node(int index) {
            this.index = index;
        }

        private String name() {
            return "i-" + index;
        }

        private RatePermits newPermits() {
            return new RatePermits(clock, "i-" + index, known, this, this::send, this::onReply);
        }

        void start() {
            isRunning = true;
            known = new EndpointRateLimits(clock);
            permits = newPermits();
            waitingUntilMillis.clear();
            lastSeenMillis.clear();
            peerTimeoutMillis = PEER_TIMEOUT_MILLIS + random.nextInt(PEER_TIMEOUT_SPREAD_MILLIS);
            nextTickMillis = nowMillis() + random.nextInt((int) TICK_MILLIS);
            for (Node peer : nodes) {
                if (peer != this && peer.isRunning && isConnected(peer)) {
                    peer.known.limited().forEach(endpoint -> peer.announce(this, endpoint));
                }
            }
        }

        private boolean isConnected(Node peer) {
            return splitAt == 0 || (index < splitAt) == (peer.index < splitAt);
        }

        private void transmit(Node to, Runnable action) {
            if (!to.isRunning || !isConnected(to)) {
                return;
            }
            int receiver = to.incarnation;
            after(1 + random.nextInt(MAX_DELAY_MILLIS), () -> to.receive(receiver, action));
        }

        private void receive(int receiver, Runnable action) {
            if (receiver != incarnation || !isRunning) {
                return;
            }
            if (isFrozen()) {
                after(frozenUntilMillis - nowMillis(), () -> receive(receiver, action));
                return;
            }
            action.run();
        }

        private boolean isFrozen() {
            return nowMillis() < frozenUntilMillis;
        }

        private void send(String instance, RatePermitMessage message) {
            Node to = nodes.get(Integer.parseInt(instance.substring(2)));
            transmit(to, () -> to.permits.onMessage(name(), message));
        }

        private void announce(Node to, EndpointIncarnation endpoint) {
            known.requestsPerSecond(endpoint).ifPresent(limit -> {
                long ageMillis = known.ageMillis(endpoint);
                transmit(to, () -> to.known.onStated(endpoint, limit, ageMillis));
            });
        }

        void step() {
            if (!isRunning || isFrozen()) {
                return;
            }
            if (nowMillis() >= nextTickMillis) {
                nextTickMillis = nowMillis() + TICK_MILLIS;
                updateView();
                permits.onTick();
            }
            if (random.nextDouble() < callsPerSecond * STEP_MILLIS / 1_000) {
                call();
            }
        }

        private void updateView() {
            List<CoordinatorChoice.Candidate> seen = new ArrayList<>();
            for (Node peer : nodes) {
                if (peer == this || (peer.isRunning && !peer.isFrozen() && isConnected(peer))) {
                    lastSeenMillis.put(peer.index, nowMillis());
                }
                if (nowMillis() - lastSeenMillis.getOrDefault(peer.index, Long.MIN_VALUE / 2) < peerTimeoutMillis) {
                    seen.add(new CoordinatorChoice.Candidate(peer.name(), 1));
                }
            }
            if (!seen.equals(candidates)) {
                candidates = seen;
                issuers.clear();
            }
        }

        @Override
        public Optional<String> issuer(EndpointIncarnation endpoint) {
            return issuers.computeIfAbsent(
                    endpoint, each -> CoordinatorChoice.coordinator(each.id().value(), candidates));
        }

        @Override
        public double reachableShare() {
            return (double) candidates.size() / nodes.size();
        }

        /** Sends a call with any permit at hand, or lets it wait for one. */
        private void call() {
            if (trySend()) {
                return;
            }
            EndpointRecord endpoint = endpoints.get(random.nextInt(endpoints.size()));
            if (permits.mayRequest(endpoint)) {
                permits.request(endpoint);
            }
            waitingUntilMillis.addLast(nowMillis() + MAX_WAIT_MILLIS);
            onReply();
        }

        private void onReply() {
            while (!waitingUntilMillis.isEmpty() && waitingUntilMillis.peekFirst() <= nowMillis()) {
                waitingUntilMillis.removeFirst();
            }
            while (!waitingUntilMillis.isEmpty() && trySend()) {
                waitingUntilMillis.removeFirst();
            }
        }

        private boolean trySend() {
            int first = random.nextInt(endpoints.size());
            for (int offset = 0; offset < endpoints.size(); offset++) {
                EndpointRecord endpoint = endpoints.get((first + offset) % endpoints.size());
                if (permits.maySend(endpoint)) {
                    sendTo(endpoint);
                    return true;
                }
            }
            return false;
        }

        private void sendTo(EndpointRecord endpoint) {
            permits.onSent(endpoint);
            EndpointIncarnation target = endpoint.incarnation();
            arrivals.add(new Arrival(target, nowMillis()));
            int sender = incarnation;
            after(random.nextInt(MAX_RESPONSE_MILLIS), () -> receive(sender, () -> onResponse(target)));
        }

        private void onResponse(EndpointIncarnation endpoint) {
            if (known.onStated(endpoint, limits.getOrDefault(endpoint, 0.0), 0)) {
                nodes.forEach(peer -> announce(peer, endpoint));
            }
        }
    }
}
