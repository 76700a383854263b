package org.jasminehub.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class WorkspaceSharesTest {
    private static final QueueStatus HALF_SERVED =
            QueueStatus.parse(List.of(), List.of(50), List.of(50), 50).orElseThrow();

    private final ManualClock clock = new ManualClock(10_000);
    private final WorkspaceShares shares = new WorkspaceShares(clock);

    private void call(String workspace, int calls) {
        for (int call = 0; call < calls; call++) {
            shares.onFirstAttempt(0, workspace);
        }
    }

    /** Guards against a workspace with many calls that takes the slots of those with few. */
    @Test
    void testWorkspaceThatAsksForLessThanItsShareGetsAll() {
        call("large", 80);
        call("a", 10);
        call("b", 10);

        assertEquals(1, shares.shareWithin(0, "a", HALF_SERVED), 1e-9);
        assertEquals(30.0 / 80, shares.shareWithin(0, "large", HALF_SERVED), 1e-9);
    }

    @Test
    void testWorkspacesAboveTheBoundGetEqualShares() {
        call("a", 120);
        call("b", 80);
        for (int small = 0; small < 10; small++) {
            call("small-" + small, 5);
        }

        assertEquals(37.5 / 120, shares.shareWithin(0, "a", HALF_SERVED), 1e-9);
        assertEquals(37.5 / 80, shares.shareWithin(0, "b", HALF_SERVED), 1e-9);
    }

    /** Guards against workspaces with equal numbers of calls that are set back because of a small sample. */
    @Test
    void testWorkspacesWithAboutEqualNumbersOfCallsAreNotSetBack() {
        call("a", 60);
        call("b", 40);

        assertEquals(1, shares.shareWithin(0, "a", HALF_SERVED), 1e-9);
        assertEquals(1, shares.shareWithin(0, "b", HALF_SERVED), 1e-9);
    }

    @Test
    void testAllIsWithinTheShareWhileNothingIsRefused() {
        call("large", 80);

        assertEquals(1, shares.shareWithin(0, "large", QueueStatus.IDLE));
        assertEquals(1, shares.shareWithin(0, "unknown", HALF_SERVED));
    }

    /** Guards against memory that grows with the number of workspaces. */
    @Test
    void testWorkspacesAreBounded() {
        for (int workspace = 0; workspace < 3_000; workspace++) {
            shares.onFirstAttempt(0, "w" + workspace);
        }

        assertTrue(shares.size() <= WorkspaceShares.MAX_WORKSPACES);
    }
}
