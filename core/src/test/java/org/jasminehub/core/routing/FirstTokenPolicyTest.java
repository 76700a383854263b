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
    private static final FailureDomain HERE = new FailureDomain("here");
    private static final FailureDomain THERE = new FailureDomain("there");
    private static final RoutingRequest REQUEST = new RoutingRequest(HERE, 800, 100, Priority.URGENT, 10_000);
    private static final int DRAWS = 1000;

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
        void testNearerEndpointWinsAtEqualLoad() {
            assertEquals("near", best(state("far", THERE, load(0, 20)), state("near", HERE, load(0, 20))));
        }

        @Test
        void testShorterQueueOutweighsDistance() {
            assertEquals("far", best(state("far", THERE, load(0, 20)), state("near", HERE, load(2000, 20))));
        }

        @Test
        void testSlowerStepMakesTheSameQueueLonger() {
            assertEquals("fast", best(state("slow", HERE, load(1000, 40)), state("fast", HERE, load(1000, 20))));
        }

        @Test
        void testCachedPrefixWinsUntilItsQueueCostsMore() {
            EndpointState idle = state("idle", HERE, load(0, 20));
            assertEquals("cached", best(withPrefix(load(10, 20)), idle));
            assertEquals("idle", best(withPrefix(load(1000, 20)), idle));
        }

        private EndpointState withPrefix(LoadReport load) {
            return new EndpointState(new EndpointId("cached"), HERE, load, 0, 0, 0, 700);
        }

        @Test
        void testOwnWorkSinceTheReportCounts() {
            EndpointState used = new EndpointState(new EndpointId("used"), HERE, load(100, 20), 50, 900, 6, 0);
            assertEquals("other", best(used, state("other", HERE, load(500, 20))));
        }
    }

    @Nested
    final class BadReports {
        @Test
        void testOldReportOfAnEmptyQueueDoesNotWinOverAFreshOne() {
            EndpointState old = new EndpointState(new EndpointId("old"), HERE, load(0, 20), 60_000, 0, 0, 0);
            EndpointState fresh = state("fresh", HERE, load(300, 20));
            EndpointState busy = state("busy", HERE, load(400, 20));
            assertEquals("fresh", best(old, fresh, busy, busy));
        }

        @Test
        void testMissingReportNeitherAttractsNorRepels() {
            EndpointState silent = state("silent", HERE, LoadReport.unknown());
            EndpointState idle = state("idle", HERE, load(0, 20));
            EndpointState middle = state("middle", HERE, load(500, 20));
            EndpointState busy = state("busy", HERE, load(2000, 20));
            assertEquals("idle", best(silent, idle, middle, busy));
            assertEquals("silent", best(silent, busy, middle, middle));
        }

        @Test
        void testFiguresThatNoEngineCanHaveCountAsMissing() {
            LoadReport broken = new LoadReport(0, 0, 32, Double.NaN, Double.POSITIVE_INFINITY, true);
            assertEquals(
                    "idle",
                    best(
                            state("broken", HERE, broken),
                            state("idle", HERE, load(0, 20)),
                            state("b", HERE, load(9, 20))));
        }

        @Test
        void testLongDelaysRefuteAReportOfAnEmptyQueue() {
            EndpointState wrong = new EndpointState(new EndpointId("wrong"), HERE, load(0, 20), 0, 0, 0, 0, 15);
            assertEquals(
                    "honest", best(wrong, state("honest", HERE, load(300, 20)), state("third", HERE, load(350, 20))));
        }

        @Test
        void testEndpointThatDoesNotAcceptIsNeverChosen() {
            LoadReport closed = new LoadReport(0, 0, 32, 20, 20_000, false);
            assertTrue(policy(1)
                    .choose(REQUEST, List.of(state("closed", HERE, closed)))
                    .isEmpty());
        }
    }

    @Nested
    final class Sharing {
        /** Sends requests while one endpoint steps slower; all queues drain at their own speed between requests. */
        private int shareOfFirst(double stepFactor) {
            double[] queue = new double[12];
            FirstTokenPolicy policy = policy(3);
            int first = 0;
            for (int draw = 0; draw < DRAWS; draw++) {
                List<EndpointState> states = new ArrayList<>();
                for (int i = 0; i < queue.length; i++) {
                    double step = i == 0 ? 20 * stepFactor : 20;
                    queue[i] = Math.max(0, queue[i] - 150.0 / 12 * 20 / step);
                    states.add(state("" + i, HERE, load((long) queue[i], step)));
                }
                int chosen = Integer.parseInt(
                        policy.choose(REQUEST, states).orElseThrow().endpoint().value());
                queue[chosen] += 150;
                first += chosen == 0 ? 1 : 0;
            }
            return first;
        }

        @Test
        void testRequestsMoveOffASlowGroupInProportionAndComeBack() {
            int even = shareOfFirst(1);
            int half = shareOfFirst(2);
            int quarter = shareOfFirst(4);
            assertTrue(even > DRAWS / 12 * 0.8 && even < DRAWS / 12 * 1.25, "even share " + even);
            assertTrue(half <= even * 0.65 && half > 0, "at twice the step time " + half);
            assertTrue(quarter <= even * 0.4, "at four times the step time " + quarter);
            assertEquals(even, shareOfFirst(1));
        }

        @Test
        void testOneStaleReportOfAnIdleEndpointDoesNotDrawEveryRequest() {
            List<EndpointState> states = new ArrayList<>();
            states.add(state("idle", HERE, load(0, 20)));
            for (int i = 1; i < 12; i++) {
                states.add(state("" + i, HERE, load(500, 20)));
            }
            FirstTokenPolicy policy = policy(3);
            int idle = 0;
            for (int draw = 0; draw < DRAWS; draw++) {
                EndpointChoice choice = policy.choose(REQUEST, states).orElseThrow();
                idle += choice.endpoint().value().equals("idle") ? 1 : 0;
            }
            assertTrue(idle < DRAWS * 0.35, "share of the idle endpoint " + idle);
        }
    }
}
