package org.jasminehub.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class EndpointTrackerTest {
    private static final EndpointId ENDPOINT = new EndpointId("text-1");

    private final ManualClock clock = new ManualClock(10_000);
    private final EndpointTracker tracker = new EndpointTracker(clock);

    private EndpointState state() {
        return tracker.state(ENDPOINT, new FailureDomain("sul-a"), 0);
    }

    private static LoadReport queued(long tokens) {
        return new LoadReport(tokens, 0, 32, 20, 20_000, true);
    }

    @Test
    void testReportReplacesOnlyWorkSentBeforeIt() {
        tracker.recordSent(ENDPOINT, 100);
        clock.advanceMillis(300);
        tracker.recordSent(ENDPOINT, 40);
        tracker.recordReport(ENDPOINT, queued(100), 200);
        assertEquals(40, state().sentSinceTokens());
        assertEquals(200, state().loadAgeMillis());
        assertEquals(2, state().outstandingRequests());
    }

    @Test
    void testReportOlderThanLatestIsIgnored() {
        tracker.recordReport(ENDPOINT, queued(7), 0);
        clock.advanceMillis(100);
        tracker.recordReport(ENDPOINT, queued(900), 500);
        assertEquals(7, state().load().queuedTokens());
    }

    @Test
    void testDelayRatioDecaysSoThatEndpointIsTriedAgain() {
        for (int i = 0; i < 30; i++) {
            tracker.recordFirstToken(ENDPOINT, 100, 1000);
        }
        assertEquals(10, state().delayRatio(), 0.1);
        clock.advanceMillis(60_000);
        assertEquals(1, state().delayRatio(), 0.01);
    }
}
