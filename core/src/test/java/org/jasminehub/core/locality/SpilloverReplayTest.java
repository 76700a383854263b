package org.jasminehub.core.locality;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.jasminehub.core.balance.EndpointChoicePolicy;
import org.jasminehub.core.balance.EndpointLoads;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Replays callers who move from one failure domain to another, with instances whose knowledge of each other's calls is
 * up to 300 ms old; the choice without locality beside the one with it.
 */
final class SpilloverReplayTest {
    private static final int INSTANCES_PER_DOMAIN = 10;
    private static final int ENDPOINTS_PER_DOMAIN = 24;
    private static final int SLOTS = 7;
    private static final long STATUS_MILLIS = 300;
    private static final long SERVICE_MILLIS = 1_400;
    private static final long STEP_MILLIS = 10;
    private static final long END_MILLIS = 16_000;
    private static final long SHIFT_START_MILLIS = 5_000;
    private static final long SHIFT_END_MILLIS = 11_000;
    private static final List<FailureDomain> DOMAINS =
            List.of(new FailureDomain("a"), new FailureDomain("b"), new FailureDomain("c"));

    private record OpenCall(long endMillis, Instance instance, EndpointRecord endpoint) {}

    /** An instance that learns the calls of the others with their statuses. */
    private static final class Instance {
        private final String name;
        private final FailureDomain domain;
        private final EndpointLoads loads;
        private final DomainAwareChoice choice;

        Instance(String name, FailureDomain domain, ManualClock clock, double cost, SplittableRandom random) {
            this.name = name;
            this.domain = domain;
            this.loads = new EndpointLoads(clock);
            this.choice = new DomainAwareChoice(
                    new EndpointChoicePolicy(loads, domain, random),
                    loads,
                    clock,
                    domain,
                    new LocalitySettings(cost, 1),
                    random,
                    () -> INSTANCES_PER_DOMAIN * DOMAINS.size(),
                    change -> changes++);
        }

        private int changes;
    }

    private final ManualClock clock = new ManualClock(0);
    private final List<EndpointRecord> endpoints = DomainAwareChoiceTest.endpoints(ENDPOINTS_PER_DOMAIN);
    private final List<Instance> instances = new ArrayList<>();
    private final Map<EndpointId, Integer> open = new HashMap<>();
    private int sent;
    private int left;
    private int withoutCapacity;
    private int overSlots;
    private int largestOpen;

    /** Plays the day; {@code callsPerSecond} is the load of each domain, doubled in the first one during the shift. */
    private void play(double cost, double callsPerSecond, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (FailureDomain domain : DOMAINS) {
            for (int index = 0; index < INSTANCES_PER_DOMAIN; index++) {
                instances.add(new Instance(domain + "-" + index, domain, clock, cost, random.split()));
            }
        }
        PriorityQueue<OpenCall> openCalls =
                new PriorityQueue<>((first, second) -> Long.compare(first.endMillis(), second.endMillis()));
        for (long nowMillis = 0; nowMillis < END_MILLIS; nowMillis += STEP_MILLIS) {
            while (!openCalls.isEmpty() && openCalls.peek().endMillis() <= nowMillis) {
                OpenCall ended = openCalls.remove();
                ended.instance().loads.onEnded(ended.endpoint().id());
                open.merge(ended.endpoint().id(), -1, Integer::sum);
            }
            exchangeStatuses(nowMillis);
            for (Instance instance : instances) {
                if (random.nextDouble() < arrivalsInStep(instance, callsPerSecond, nowMillis)) {
                    send(instance, nowMillis, random).ifPresent(openCalls::add);
                }
            }
            clock.advanceMillis(STEP_MILLIS);
        }
    }

    private static double arrivalsInStep(Instance instance, double callsPerSecond, long nowMillis) {
        boolean isShifted = nowMillis >= SHIFT_START_MILLIS && nowMillis < SHIFT_END_MILLIS;
        double factor = !isShifted ? 1 : instance.domain.equals(DOMAINS.get(0)) ? 2 : 0.5;
        return callsPerSecond * factor / INSTANCES_PER_DOMAIN * STEP_MILLIS / 1_000;
    }

    private void exchangeStatuses(long nowMillis) {
        for (int index = 0; index < instances.size(); index++) {
            if ((nowMillis + index * STEP_MILLIS) % STATUS_MILLIS != 0) {
                continue;
            }
            Instance sender = instances.get(index);
            Map<EndpointId, Integer> calls = sender.loads.ownCalls();
            instances.stream()
                    .filter(receiver -> receiver != sender)
                    .forEach(receiver -> receiver.loads.onPeerLoads(sender.name, calls));
        }
    }

    private Optional<OpenCall> send(Instance instance, long nowMillis, SplittableRandom random) {
        sent++;
        Optional<EndpointRecord> chosen = instance.choice.choose("s", endpoints, Set.of(), endpoint -> 1.0, false);
        if (chosen.isEmpty()) {
            withoutCapacity++;
            return Optional.empty();
        }
        EndpointRecord endpoint = chosen.get();
        instance.loads.onSent(endpoint.id());
        int nowOpen = open.merge(endpoint.id(), 1, Integer::sum);
        overSlots += nowOpen > SLOTS ? 1 : 0;
        largestOpen = Math.max(largestOpen, nowOpen);
        left += endpoint.domain().equals(instance.domain) ? 0 : 1;
        long durationMillis = SERVICE_MILLIS / 2 + random.nextLong(SERVICE_MILLIS);
        return Optional.of(new OpenCall(nowMillis + durationMillis, instance, endpoint));
    }

    private double shareThatLeft() {
        return (double) left / sent;
    }

    /** A load of half the capacity, of which the first domain gets twice its share for 6 s. */
    @Nested
    final class MovingCallers {
        /** 60 calls a second and domain occupy half of the 168 slots of a domain. */
        private static final double CALLS_PER_SECOND = 60;

        @Test
        void testHalfAsManyCallsLeaveAndFewerExceedTheSlots() {
            for (long seed = 1; seed <= 3; seed++) {
                SpilloverReplayTest without = new SpilloverReplayTest();
                without.play(0, CALLS_PER_SECOND, seed);
                SpilloverReplayTest with = new SpilloverReplayTest();
                with.play(0.25, CALLS_PER_SECOND, seed);
                String result = "seed " + seed + ": " + with + " instead of " + without;
                assertTrue(with.shareThatLeft() < 0.5 * without.shareThatLeft(), result);
                assertTrue(with.overSlots < 0.5 * without.overSlots, result);
                assertEquals(0, with.withoutCapacity, result);
            }
        }

        @Test
        void testInstancesDoNotAlternateBetweenStayingAndLeaving() {
            play(0.25, CALLS_PER_SECOND, 1);
            // One change to leaving and one back for each instance of the domain with the doubled load.
            int changes =
                    instances.stream().mapToInt(instance -> instance.changes).sum();
            assertTrue(changes <= 3 * INSTANCES_PER_DOMAIN, "changes: " + changes);
        }
    }

    /** A load near the capacity of all domains together. */
    @Nested
    final class FullDomains {
        private static final double CALLS_PER_SECOND = 100;

        @Test
        void testNoMoreCallsExceedTheSlotsThanWithoutLocality() {
            SpilloverReplayTest without = new SpilloverReplayTest();
            without.play(0, CALLS_PER_SECOND, 1);
            play(0.25, CALLS_PER_SECOND, 1);
            String result = SpilloverReplayTest.this + " instead of " + without;
            assertTrue(withoutCapacity <= without.withoutCapacity, result);
            assertTrue(overSlots <= without.overSlots, result);
        }
    }

    @Override
    public String toString() {
        return sent + " calls, " + left + " left, " + withoutCapacity + " without capacity, " + overSlots
                + " above the slots, at most " + largestOpen + " open";
    }
}
