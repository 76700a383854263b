package org.jasminehub.core.answer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.jasminehub.core.document.RouteKind;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.membership.MemberState;
import org.jasminehub.core.time.ManualClock;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

final class FreshReadPolicyTest {
    private final ManualClock clock = new ManualClock(10_000);
    private final FreshReadPolicy policy = new FreshReadPolicy(2_000, 200, clock);

    private boolean isConfirmed(
            long lastContactMillis, MemberState reported, @Nullable MemberState listed, long leaseUntilMillis) {
        return policy.isConfirmed(
                new EndpointStatus(new EndpointId("metrics-1"), lastContactMillis, reported, listed, leaseUntilMillis));
    }

    @Test
    void testEndpointThatFailsAnyConditionIsNotConfirmed() {
        assertTrue(isConfirmed(9_000, MemberState.LIVE, MemberState.LIVE, 20_000));
        assertFalse(isConfirmed(7_999, MemberState.LIVE, MemberState.LIVE, 20_000));
        assertFalse(isConfirmed(9_000, MemberState.LEAVING, MemberState.LIVE, 20_000));
        assertFalse(isConfirmed(9_000, MemberState.LIVE, MemberState.LEAVING, 20_000));
        assertFalse(isConfirmed(9_000, MemberState.LIVE, null, 20_000));
        assertFalse(isConfirmed(9_000, MemberState.LIVE, MemberState.LIVE, 10_200));
    }

    @Test
    void testFreshReadIsNeverSharedOrHedged() {
        DeliveryRule rule = DeliveryRule.of(RouteKind.FRESH_READ);
        assertFalse(rule.mayShare() || rule.mayHedge() || rule.mayResume());
        assertTrue(rule.needsConfirmedEndpoint());
    }
}
