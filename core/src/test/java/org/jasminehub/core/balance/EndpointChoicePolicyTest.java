package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EndpointChoicePolicyTest {
    private static final FailureDomain LOCAL = new FailureDomain("a");
    private static final int SLOTS = 8;

    private final ManualClock clock = new ManualClock(0);

    private static List<EndpointRecord> endpoints(int count) {
        List<EndpointRecord> result = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            result.add(new EndpointRecord(
                    new EndpointId("e-" + index), 1, "s", "10.0.0." + (index + 1), 80, LOCAL, SLOTS, false, null));
        }
        return result;
    }

    private EndpointChoicePolicy policy(EndpointLoads loads, int seed) {
        return new EndpointChoicePolicy(loads, LOCAL, new SplittableRandom(seed));
    }

    /** Several instances send calls at the same time, each of them fewer calls than there are endpoints. */
    @Nested
    final class ManyInstances {
        private static final int INSTANCES = 6;
        private static final int ENDPOINTS = 12;
        private static final int CALLS = 24;

        /** Lets the instances send calls in turn, and returns the largest number of calls at one endpoint. */
        private int mostLoaded(boolean shareLoads) {
            List<EndpointRecord> all = endpoints(ENDPOINTS);
            List<EndpointLoads> loads = new ArrayList<>();
            Map<EndpointId, Integer> total = new HashMap<>();
            for (int instance = 0; instance < INSTANCES; instance++) {
                loads.add(new EndpointLoads(clock));
            }
            for (int call = 0; call < CALLS; call++) {
                int instance = call % INSTANCES;
                EndpointRecord chosen = policy(loads.get(instance), call)
                        .choose(all, Set.of(), endpoint -> 1.0)
                        .orElseThrow();
                loads.get(instance).onSent(chosen.id());
                total.merge(chosen.id(), 1, Integer::sum);
                for (int peer = 0; shareLoads && peer < INSTANCES; peer++) {
                    if (peer != instance) {
                        loads.get(peer)
                                .onPeerLoads(
                                        "entry-" + instance, loads.get(instance).ownCalls());
                    }
                }
            }
            return total.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        }

        @Test
        void testSharedOpenCallsSpreadCallsEvenly() {
            int fair = CALLS / ENDPOINTS;

            assertTrue(mostLoaded(true) <= fair, "most loaded: " + mostLoaded(true));
            assertTrue(mostLoaded(false) > fair, "most loaded without shared loads: " + mostLoaded(false));
        }
    }

    /** Endpoints that fail or are slow but stay registered. */
    @Nested
    final class FaultyEndpoints {
        private final EndpointLoads loads = new EndpointLoads(clock);

        private EndpointId chosen(List<EndpointRecord> candidates) {
            return policy(loads, 1)
                    .choose(candidates, Set.of(), endpoint -> 1.0)
                    .orElseThrow()
                    .id();
        }

        @Test
        void testFailedEndpointIsAvoidedUntilFailureDecays() {
            List<EndpointRecord> two = endpoints(2);
            loads.onFailure(two.get(0).id());
            assertEquals(two.get(1).id(), chosen(two));

            loads.onSent(two.get(1).id());
            clock.advanceMillis(20_000);

            assertEquals(two.get(0).id(), chosen(two));
        }

        @Test
        void testVerySlowEndpointReceivesNoCalls() {
            List<EndpointRecord> two = endpoints(2);
            loads.onSlowdowns("coordinator", Map.of(two.get(0).id(), 12.0));
            for (int call = 0; call < SLOTS; call++) {
                assertEquals(two.get(1).id(), chosen(two));
                loads.onSent(two.get(1).id());
            }

            assertTrue(policy(loads, 1).choose(two, Set.of(), endpoint -> 1.0).isEmpty());
        }

        @Test
        void testAvoidedEndpointIsChosenOnlyIfNoOtherIsLeft() {
            List<EndpointRecord> two = endpoints(2);

            assertEquals(
                    two.get(1).id(),
                    policy(loads, 1)
                            .choose(two, Set.of(two.get(0).id()), endpoint -> 1.0)
                            .orElseThrow()
                            .id());
            assertEquals(
                    two.get(0).id(),
                    policy(loads, 1)
                            .choose(two.subList(0, 1), Set.of(two.get(0).id()), endpoint -> 1.0)
                            .orElseThrow()
                            .id());
        }
    }
}
