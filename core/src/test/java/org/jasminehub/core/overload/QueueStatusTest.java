package org.jasminehub.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

final class QueueStatusTest {
    private static final List<Integer> NONE = List.of();

    /** Guards against a malformed status that makes all instances leave their slots to others. */
    @Test
    void testImpossibleCountsAreNotAccepted() {
        assertTrue(QueueStatus.parse(List.of(-1), NONE, NONE, 0).isEmpty());
        assertTrue(QueueStatus.parse(NONE, List.of(Integer.MAX_VALUE), NONE, 0).isEmpty());
        assertTrue(QueueStatus.parse(NONE, NONE, Collections.nCopies(11, 1), 0).isEmpty());
        assertTrue(QueueStatus.parse(NONE, NONE, NONE, -1).isEmpty());
    }

    @Test
    void testMissingCountsAreZero() {
        assertEquals(QueueStatus.IDLE, QueueStatus.parse(NONE, NONE, NONE, 0).orElseThrow());
    }

    @Test
    void testCountsAreListedUpToTheLowestPriorityWithCalls() {
        QueueStatus status =
                QueueStatus.parse(List.of(0, 2, 0, 0), NONE, NONE, 0).orElseThrow();

        assertEquals(List.of(0, 2), status.waiting().toList());
    }

    @Test
    void testDemandCountsWaitingStartedAndRefusedCalls() {
        QueueStatus status = QueueStatus.parse(List.of(1, 2), List.of(3, 1), List.of(0, 3), 4)
                .orElseThrow();

        assertEquals(0.6, status.demandShare(1), 1e-9);
        assertEquals(0, QueueStatus.IDLE.demandShare(1));
    }
}
