package org.jasminehub.core.ratelimit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the permits of one instance; its peer is the test. */
final class RatePermitsTest {
    private static final String SELF = "entry-1";
    private static final String PEER = "entry-2";

    private final ManualClock clock = new ManualClock(10_000);
    private final EndpointRateLimits limits = new EndpointRateLimits(clock);
    private final List<RatePermitMessage> sent = new ArrayList<>();
    private final EndpointRecord endpoint = endpoint("e-1");
    private String issuer = PEER;
    private double reachableShare = 1;
    private final RatePermits permits = new RatePermits(
            clock,
            SELF,
            limits,
            new IssuerView() {
                @Override
                public Optional<String> issuer(EndpointIncarnation target) {
                    return Optional.of(issuer);
                }

                @Override
                public double reachableShare() {
                    return reachableShare;
                }
            },
            (instance, message) -> sent.add(message),
            () -> {});

    private static EndpointRecord endpoint(String id) {
        return new EndpointRecord(new EndpointId(id), 100, "s", "10.0.0.1", 80, new FailureDomain("a"), 8, false, null);
    }

    private EndpointIncarnation run() {
        return endpoint.incarnation();
    }

    private long countSent(Class<? extends RatePermitMessage> type) {
        return sent.stream().filter(type::isInstance).count();
    }

    /** An instance that asks another one for permits. */
    @Nested
    final class Holder {
        @Test
        void testAnEndpointWithoutALimitNeedsNoPermit() {
            assertTrue(permits.maySend(endpoint));
            assertFalse(permits.mayRequest(endpoint));
        }

        @Test
        void testEachRequestUsesUpAPermit() {
            limits.onStated(run(), 2, 0);
            assertFalse(permits.maySend(endpoint));

            permits.request(endpoint);
            permits.onMessage(PEER, new RatePermitMessage.Permit(run()));
            assertTrue(permits.maySend(endpoint));
            permits.onSent(endpoint);

            assertFalse(permits.maySend(endpoint));
            assertEquals(1, countSent(RatePermitMessage.Request.class));
        }

        @Test
        void testAnUnusedPermitIsReturnedAndNoLongerUsed() {
            limits.onStated(run(), 2, 0);
            permits.onMessage(PEER, new RatePermitMessage.Permit(run()));
            clock.advanceMillis(PermitHolder.PERMIT_TIMEOUT_MILLIS);

            assertFalse(permits.maySend(endpoint));
            permits.onTick();

            assertEquals(1, countSent(RatePermitMessage.Return.class));
            permits.onTick();
            assertEquals(1, countSent(RatePermitMessage.Return.class));
        }

        @Test
        void testARequestWithoutAReplyIsRepeated() {
            limits.onStated(run(), 2, 0);
            permits.request(endpoint);
            assertFalse(permits.mayRequest(endpoint));

            clock.advanceMillis(300);

            assertTrue(permits.mayRequest(endpoint));
        }

        @Test
        void testTheExpectedWaitIsThatOfTheIssuer() {
            limits.onStated(run(), 2, 0);
            assertEquals(OptionalLong.of(0), permits.expectedWaitMillis(List.of(endpoint), 0));
            permits.request(endpoint);
            permits.onMessage(PEER, new RatePermitMessage.Queued(run(), 700));

            assertEquals(OptionalLong.of(700), permits.expectedWaitMillis(List.of(endpoint), 0));
            assertEquals(OptionalLong.of(1_400), permits.expectedWaitMillis(List.of(endpoint), 1));
            assertEquals(OptionalLong.empty(), permits.expectedWaitMillis(List.of(endpoint, endpoint("e-2")), 0));
        }

        @Test
        void testTheLimitIsNotExceededBecauseTheIssuerDoesNotReply() {
            limits.onStated(run(), 2, 0);
            permits.request(endpoint);
            clock.advanceMillis(5_000);
            permits.onTick();

            assertFalse(permits.maySend(endpoint));
            assertTrue(permits.expectedWaitMillis(List.of(endpoint), 0).orElseThrow() > 0);
        }
    }

    /** An instance that issues the permits. */
    @Nested
    final class Issuer {
        private double statedLimit;

        private void startIssuing(double limit) {
            issuer = SELF;
            statedLimit = limit;
            limits.onStated(run(), limit, 0);
            permits.onTick();
        }

        private void request(String instance) {
            permits.onMessage(instance, new RatePermitMessage.Request(run(), statedLimit, 0));
        }

        @Test
        void testANewIssuerStartsWithoutPermits() {
            startIssuing(2);
            request(PEER);

            assertEquals(List.of(new RatePermitMessage.Queued(run(), 500)), sent);
        }

        @Test
        void testPermitsAreIssuedAtTheRateOfTheLimitInTheOrderOfRequests() {
            startIssuing(2);
            for (int step = 0; step < 40; step++) {
                request(PEER + step % 3);
                clock.advanceMillis(100);
                permits.onTick();
            }

            assertTrue(countSent(RatePermitMessage.Permit.class) <= 8);
            assertTrue(countSent(RatePermitMessage.Permit.class) >= 3);
        }

        @Test
        void testPermitsDoNotAccumulate() {
            startIssuing(2);
            clock.advanceMillis(60_000);
            for (int request = 0; request < 10; request++) {
                request(PEER + request);
            }

            assertEquals(1, countSent(RatePermitMessage.Permit.class));
        }

        @Test
        void testAReturnedPermitIsIssuedAgain() {
            startIssuing(2);
            clock.advanceMillis(1_000);
            request("a");
            request("b");
            assertEquals(1, countSent(RatePermitMessage.Permit.class));

            permits.onMessage("a", new RatePermitMessage.Return(run()));

            assertEquals(2, countSent(RatePermitMessage.Permit.class));
        }

        @Test
        void testAPermitIsReturnedOnlyOnce() {
            startIssuing(2);
            clock.advanceMillis(1_000);
            request("a");
            request("b");
            permits.onMessage("a", new RatePermitMessage.Return(run()));
            request("c");

            permits.onMessage("a", new RatePermitMessage.Return(run()));

            assertEquals(2, countSent(RatePermitMessage.Permit.class));
        }

        @Test
        void testAnEndpointThatTakesNothingIsStillProbed() {
            startIssuing(0);
            clock.advanceMillis(5_000);

            request(PEER);

            assertEquals(1, countSent(RatePermitMessage.Permit.class));
        }

        @Test
        void testAMinorityIssuesOnlyItsShare() {
            reachableShare = 0.25;
            startIssuing(4);
            clock.advanceMillis(500);
            request(PEER);
            assertEquals(0, countSent(RatePermitMessage.Permit.class));

            clock.advanceMillis(500);
            permits.onTick();

            assertEquals(1, countSent(RatePermitMessage.Permit.class));
        }

        @Test
        void testAnInstanceThatIsNoLongerIssuerIssuesNothing() {
            startIssuing(2);
            clock.advanceMillis(1_000);
            issuer = PEER;

            request("a");

            assertEquals(0, sent.size());
        }
    }

    /** The time after which refused callers return. */
    @Nested
    final class Return {
        @Test
        void testItFollowsTheExpectedWaitWithinBounds() {
            assertEquals(500, RatePermits.retryAfterMillis(10, 0));
            assertEquals(1_200, RatePermits.retryAfterMillis(1_200, 0));
            assertEquals(1_800, RatePermits.retryAfterMillis(1_200, 1));
            assertEquals(5_000, RatePermits.retryAfterMillis(600_000, 0));
        }
    }
}
