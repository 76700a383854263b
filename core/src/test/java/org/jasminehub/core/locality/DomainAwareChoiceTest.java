package org.jasminehub.core.locality;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.jasminehub.core.balance.EndpointChoicePolicy;
import org.jasminehub.core.balance.EndpointLoads;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class DomainAwareChoiceTest {
    private static final FailureDomain HOME = new FailureDomain("a");
    private static final int SLOTS = 7;
    private static final int PER_DOMAIN = 4;
    private static final double COST = 0.25;
    private static final int INSTANCES = 48;

    private final ManualClock clock = new ManualClock(0);
    private final EndpointLoads loads = new EndpointLoads(clock);
    private final List<SpilloverChange> changes = new ArrayList<>();

    private DomainAwareChoice choice(double cost, int minHomeEndpoints) {
        SplittableRandom random = new SplittableRandom(1);
        return new DomainAwareChoice(
                new EndpointChoicePolicy(loads, HOME, random),
                loads,
                clock,
                HOME,
                new LocalitySettings(cost, minHomeEndpoints),
                random,
                () -> INSTANCES,
                changes::add);
    }

    static List<EndpointRecord> endpoints(int perDomain) {
        List<EndpointRecord> result = new ArrayList<>();
        for (String domain : List.of("a", "b", "c")) {
            for (int index = 0; index < perDomain; index++) {
                result.add(new EndpointRecord(
                        new EndpointId(domain + index),
                        1,
                        "s",
                        "10.0.0.1",
                        80,
                        new FailureDomain(domain),
                        SLOTS,
                        false,
                        null));
            }
        }
        return result;
    }

    private void send(String endpoint, int calls) {
        for (int call = 0; call < calls; call++) {
            loads.onSent(new EndpointId(endpoint));
        }
    }

    private FailureDomain domainOf(DomainAwareChoice choice, boolean isAtRisk) {
        return choice.choose("s", endpoints(PER_DOMAIN), Set.of(), endpoint -> 1.0, isAtRisk)
                .orElseThrow()
                .domain();
    }

    /** The local domain has capacity, or none. */
    @Nested
    final class Capacity {
        @Test
        void testCallsStayHomeWhileOtherDomainsAreIdle() {
            DomainAwareChoice choice = choice(COST, 1);
            for (int index = 0; index < PER_DOMAIN; index++) {
                send("a" + index, 2);
            }
            assertEquals(HOME, domainOf(choice, false));
            assertEquals(0, choice.share("s"));
        }

        @Test
        void testCallsLeaveAFullDomainAtOnce() {
            DomainAwareChoice choice = choice(COST, 1);
            for (int index = 0; index < PER_DOMAIN; index++) {
                send("a" + index, SLOTS);
            }
            assertNotEquals(HOME, domainOf(choice, false));
        }

        @Test
        void testTheShareFollowsALoadThatPersists() {
            DomainAwareChoice choice = choice(COST, 1);
            for (int index = 0; index < PER_DOMAIN; index++) {
                send("a" + index, 6);
            }
            for (int step = 0; step < 100; step++) {
                clock.advanceMillis(50);
                domainOf(choice, false);
            }
            assertEquals((6.0 / 7 - 0.3) / 0.7, choice.share("s"), 0.01);
            assertEquals(1, changes.size());
            assertEquals(SpilloverExtent.SOME, changes.get(0).extent());
        }

        @Test
        void testNoCallLeavesIfOtherDomainsAreFullerThanHome() {
            DomainAwareChoice choice = choice(COST, 1);
            for (EndpointRecord endpoint : endpoints(PER_DOMAIN)) {
                send(endpoint.id().value(), endpoint.domain().equals(HOME) ? 6 : SLOTS);
            }
            clock.advanceMillis(5_000);
            assertEquals(HOME, domainOf(choice, false));
            assertEquals(0, choice.share("s"));
        }

        @Test
        void testACallThatWasSentBeforeGoesWhereThereIsMostCapacity() {
            DomainAwareChoice choice = choice(COST, 1);
            for (int index = 0; index < PER_DOMAIN; index++) {
                send("a" + index, 2);
            }
            int stayed = 0;
            for (int call = 0; call < 100; call++) {
                stayed += domainOf(choice, true).equals(HOME) ? 1 : 0;
            }
            // Only a sample of three endpoints of the local domain keeps the call there.
            assertTrue(stayed < 15, "stayed: " + stayed);
        }
    }

    /** The endpoints of the local domain are of no use. */
    @Nested
    final class Failures {
        @Test
        void testADomainWhoseEndpointsFailKeepsNoCalls() {
            DomainAwareChoice choice = choice(COST, 1);
            for (int index = 0; index < PER_DOMAIN; index++) {
                loads.onFailure(new EndpointId("a" + index));
            }
            assertNotEquals(HOME, domainOf(choice, false));
        }

        @Test
        void testADomainWithTooFewEndpointsIsNotPreferred() {
            DomainAwareChoice choice = choice(COST, PER_DOMAIN + 1);
            for (int index = 0; index < PER_DOMAIN; index++) {
                send("a" + index, 1);
            }
            assertNotEquals(HOME, domainOf(choice, false));
        }

        @Test
        void testWithoutACostEndpointsAreChosenByLoad() {
            DomainAwareChoice choice = choice(0, 1);
            for (int index = 0; index < PER_DOMAIN; index++) {
                send("a" + index, 1);
            }
            assertNotEquals(HOME, domainOf(choice, false));
        }
    }

    /** Where the calls go that leave. */
    @Nested
    final class Destinations {
        @Test
        void testDomainsGetCallsInProportionToTheirFreeCapacity() {
            SpilloverPolicy policy = new SpilloverPolicy(clock, HOME);
            Map<FailureDomain, DomainLoad> domainLoads = new TreeMap<>();
            domainLoads.put(HOME, new DomainLoad(28, 28));
            domainLoads.put(new FailureDomain("b"), new DomainLoad(18, 28));
            domainLoads.put(new FailureDomain("c"), new DomainLoad(28, 28));
            assertEquals(
                    "b", policy.destination(domainLoads, 0.99).orElseThrow().value());
            domainLoads.put(new FailureDomain("b"), new DomainLoad(28, 28));
            assertTrue(policy.destination(domainLoads, 0).isEmpty());
        }
    }
}
