package org.jasminehub.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jasminehub.core.document.Priority;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class FirstTokenPolicyTest {
    private static final FailureDomain LOCAL = new FailureDomain("here");
    private static final FailureDomain REMOTE = new FailureDomain("there");
    private static final RoutingRequest REQUEST = new RoutingRequest(LOCAL, 800, 100, Priority.URGENT, 10_000);
    private static final int REQUESTS = 1000;

    private static FirstTokenPolicy policy(int sampleSize) {
        FirstTokenEstimate estimate = new FirstTokenEstimate(NetworkDistance.uniform(1.5), 2000, 1);
        return new FirstTokenPolicy(estimate, sampleSize, new Random(7));
    }

    private static LoadReport load(long queuedTokens, double stepMillis) {
        return new LoadReport(queuedTokens, 32, 32, stepMillis, 20_000, true);
    }

    private static EndpointState state(String id, FailureDomain domain, LoadReport load) {
        return new EndpointState(new EndpointId(id), domain, load, 0, 0, 0, 0);
    }

    private static String best(EndpointState... states) {
        List<EndpointState> candidates = List.of(states);
        return policy(candidates.size())
                .choose(REQUEST, candidates)
                .orElseThrow()
                .endpoint()
                .value();
    }

    @Nested
    final class Estimate {
        @Test
        void testNearerEndpointIsChosenAtEqualLoad() {
            assertEquals("near", best(state("far", REMOTE, load(0, 20)), state("near", LOCAL, load(0, 20))));
        }

        @Test
        void testShorterQueueOutweighsDistance() {
            assertEquals("far", best(state("far", REMOTE, load(0, 20)), state("near", LOCAL, load(2000, 20))));
        }

        @Test
        void testSlowerStepMakesEqualQueueCostMore() {
            assertEquals("fast", best(state("slow", LOCAL, load(1000, 40)), state("fast", LOCAL, load(1000, 20))));
        }

        @Test
        void testCachedPrefixIsChosenUnlessItsQueueCostsMore() {
            EndpointState idle = state("idle", LOCAL, load(0, 20));
            assertEquals("cached", best(withPrefix(load(10, 20)), idle));
            assertEquals("idle", best(withPrefix(load(1000, 20)), idle));
        }

        private EndpointState withPrefix(LoadReport load) {
            return new EndpointState(new EndpointId("cached"), LOCAL, load, 0, 0, 0, 700);
        }

        @Test
        void testWorkSentSinceReportCounts() {
            EndpointState used = new EndpointState(new EndpointId("used"), LOCAL, load(100, 20), 50, 900, 6, 0);
            assertEquals("other", best(used, state("other", LOCAL, load(500, 20))));
        }
    }

    @Nested
    final class UnreliableReports {
        @Test
        void testFreshReportIsPreferredToOldReportOfEmptyQueue() {
            EndpointState old = new EndpointState(new EndpointId("old"), LOCAL, load(0, 20), 60_000, 0, 0, 0);
            EndpointState fresh = state("fresh", LOCAL, load(300, 20));
            EndpointState busy = state("busy", LOCAL, load(400, 20));
            assertEquals("fresh", best(old, fresh, busy, busy));
        }

        @Test
        void testEndpointWithoutReportIsTreatedAsMedian() {
            EndpointState silent = state("silent", LOCAL, LoadReport.unknown());
            EndpointState idle = state("idle", LOCAL, load(0, 20));
            EndpointState middle = state("middle", LOCAL, load(500, 20));
            EndpointState busy = state("busy", LOCAL, load(2000, 20));
            assertEquals("idle", best(silent, idle, middle, busy));
            assertEquals("silent", best(silent, busy, middle, middle));
        }

        @Test
        void testInvalidReportIsTreatedAsMissing() {
            LoadReport broken = new LoadReport(0, 0, 32, Double.NaN, Double.POSITIVE_INFINITY, true);
            assertEquals(
                    "idle",
                    best(
                            state("broken", LOCAL, broken),
                            state("idle", LOCAL, load(0, 20)),
                            state("b", LOCAL, load(9, 20))));
        }

        @Test
        void testLongDelaysOverrideReportOfEmptyQueue() {
            EndpointState wrong = new EndpointState(new EndpointId("wrong"), LOCAL, load(0, 20), 0, 0, 0, 0, 15);
            assertEquals(
                    "honest", best(wrong, state("honest", LOCAL, load(300, 20)), state("third", LOCAL, load(350, 20))));
        }

        @Test
        void testEndpointThatDoesNotAcceptWorkIsNeverChosen() {
            LoadReport closed = new LoadReport(0, 0, 32, 20, 20_000, false);
            assertTrue(policy(1)
                    .choose(REQUEST, List.of(state("closed", LOCAL, closed)))
                    .isEmpty());
        }
    }

    @Nested
    final class Distribution {
        /**
         * Returns how many requests the first endpoint receives if its steps take {@code stepFactor} times as long. All
         * queues drain at their own speed between requests.
         */
        private int requestsToFirst(double stepFactor) {
            double[] queue = new double[12];
            FirstTokenPolicy policy = policy(3);
            int first = 0;
            for (int request = 0; request < REQUESTS; request++) {
                List<EndpointState> states = new ArrayList<>();
                for (int i = 0; i < queue.length; i++) {
                    double step = i == 0 ? 20 * stepFactor : 20;
                    queue[i] = Math.max(0, queue[i] - 150.0 / 12 * 20 / step);
                    states.add(state("" + i, LOCAL, load((long) queue[i], step)));
                }
                int chosen = Integer.parseInt(
                        policy.choose(REQUEST, states).orElseThrow().endpoint().value());
                queue[chosen] += 150;
                first += chosen == 0 ? 1 : 0;
            }
            return first;
        }

        @Test
        void testSlowEndpointReceivesProportionallyFewerRequests() {
            int even = requestsToFirst(1);
            int half = requestsToFirst(2);
            int quarter = requestsToFirst(4);
            assertTrue(even > REQUESTS / 12 * 0.8 && even < REQUESTS / 12 * 1.25, "even share " + even);
            assertTrue(half <= even * 0.65 && half > 0, "at twice the step time " + half);
            assertTrue(quarter <= even * 0.4, "at four times the step time " + quarter);
            assertEquals(even, requestsToFirst(1));
        }

        @Test
        void testStaleReportOfIdleEndpointDoesNotAttractAllRequests() {
            List<EndpointState> states = new ArrayList<>();
            states.add(state("idle", LOCAL, load(0, 20)));
            for (int i = 1; i < 12; i++) {
                states.add(state("" + i, LOCAL, load(500, 20)));
            }
            FirstTokenPolicy policy = policy(3);
            int idle = 0;
            for (int request = 0; request < REQUESTS; request++) {
                EndpointChoice choice = policy.choose(REQUEST, states).orElseThrow();
                idle += choice.endpoint().value().equals("idle") ? 1 : 0;
            }
            assertTrue(idle < REQUESTS * 0.35, "share of the idle endpoint " + idle);
        }
    }
}
