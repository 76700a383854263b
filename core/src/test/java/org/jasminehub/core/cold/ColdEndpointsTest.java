package org.jasminehub.core.cold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.ColdStart;
import org.jasminehub.core.serving.ColdTime;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.EndpointRegistration;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class ColdEndpointsTest {
    private static final ColdStart COLD_START = new ColdStart(3_000, 23, "");

    private final ManualClock clock = new ManualClock(50_000);
    private final ColdEndpoints cold = new ColdEndpoints(clock);

    private static EndpointRecord endpoint(long startedMillis) {
        return new EndpointRecord(
                new EndpointId("e"), startedMillis, "s", "10.0.0.1", 80, new FailureDomain("a"), 7, false, null);
    }

    private static EndpointRegistration registration(long startedMillis, long sequence, ColdTime time) {
        return new EndpointRegistration(endpoint(startedMillis), sequence, time);
    }

    private boolean isCold(long startedMillis) {
        return cold.isCold(endpoint(startedMillis).incarnation(), COLD_START);
    }

    /** Fails if an instance that has just started sends at full rate to an endpoint that may be cold. */
    @Test
    void testAnEndpointThatStatesNothingIsColdFromTheFirstSight() {
        cold.onRegistration(registration(1, 1, ColdTime.NOT_STATED));

        assertTrue(isCold(1));
        clock.advanceMillis(2_999);
        assertTrue(isCold(1));
        clock.advanceMillis(1);
        assertFalse(isCold(1));
    }

    /** Fails if a clock that is ahead keeps an endpoint cold for as long as the clocks differ. */
    @Test
    void testAStartInTheFutureDoesNotProlongTheColdTime() {
        cold.onRegistration(registration(900_000, 1, ColdTime.NOT_STATED));
        clock.advanceMillis(3_000);

        assertFalse(isCold(900_000));
    }

    @Test
    void testAnEndpointThatStatesToBeWarmIsWarmAtOnce() {
        cold.onRegistration(registration(1, 1, ColdTime.ofMillis(0)));

        assertFalse(isCold(1));
    }

    /** Fails if reading the log again, as after a suspension, counts an old statement as a new one. */
    @Test
    void testReadingARegistrationAgainDoesNotProlongTheColdTime() {
        cold.onRegistration(registration(1, 4, ColdTime.ofMillis(2_000)));
        clock.advanceMillis(1_500);
        cold.onRegistration(registration(1, 4, ColdTime.ofMillis(2_000)));
        clock.advanceMillis(500);

        assertFalse(isCold(1));
    }

    /** Fails if an endpoint that turns cold again in the same run is taken for warm. */
    @Test
    void testAnEndpointMayTurnColdAgain() {
        cold.onRegistration(registration(1, 4, ColdTime.ofMillis(0)));
        clock.advanceMillis(60_000);
        cold.onRegistration(registration(1, 5, ColdTime.ofMillis(2_000)));
        assertTrue(isCold(1));
        clock.advanceMillis(2_000);
        assertFalse(isCold(1));

        cold.onResponse(endpoint(1).incarnation(), ColdTime.ofMillis(700));
        assertTrue(isCold(1));
    }

    /** Fails if a registration that was written before a response was sent ends the cold time. */
    @Test
    void testALaterStatementNeverShortensAColdTime() {
        cold.onResponse(endpoint(1).incarnation(), ColdTime.ofMillis(2_000));
        cold.onRegistration(registration(1, 4, ColdTime.ofMillis(0)));
        cold.onResponse(endpoint(1).incarnation(), ColdTime.ofMillis(10));

        assertTrue(isCold(1));
        assertEquals(52_000, cold.endMillis(endpoint(1).incarnation(), COLD_START));
    }

    /** Fails if a malformed statement counts as warm, or is logged with each response. */
    @Test
    void testAMalformedStatementCountsAsColdAndIsReportedOnce() {
        cold.onRegistration(registration(1, 1, ColdTime.ofMillis(0)));
        EndpointIncarnation run = endpoint(1).incarnation();

        assertTrue(cold.onResponse(run, ColdTime.parse("soon")));
        assertFalse(cold.onResponse(run, ColdTime.parse("later")));
        assertTrue(isCold(1));
        clock.advanceMillis(3_000);
        assertFalse(isCold(1));
    }

    /** Fails if the cold time of a run is taken for that of its successor. */
    @Test
    void testEachRunHasItsOwnColdTime() {
        cold.onRegistration(registration(1, 1, ColdTime.ofMillis(9_000)));
        cold.onRegistration(registration(2, 1, ColdTime.ofMillis(0)));

        assertFalse(isCold(2));
        assertTrue(isCold(1));
    }

    /** Fails if a registration that lapses for a moment makes a cold endpoint look warm. */
    @Test
    void testAStatedColdTimeSurvivesALapsedRegistration() {
        cold.onRegistration(registration(1, 1, ColdTime.ofMillis(9_000)));
        cold.onRegistrations(List.of());
        cold.onRegistration(registration(1, 2, ColdTime.ofMillis(0)));

        assertTrue(isCold(1));
    }
}
