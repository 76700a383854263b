package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class StatusIntervalPolicyTest {
    @Test
    void testFewInstancesExchangeStatusesAboutAsOftenAsTheySendCalls() {
        assertEquals(80, StatusIntervalPolicy.intervalMillis(1));
        assertEquals(80, StatusIntervalPolicy.intervalMillis(7));
    }

    @Test
    void testMessagesOfAnInstanceDoNotGrowWithTheFleet() {
        for (int instances = 2; instances <= 60; instances++) {
            long messagesPerSecond = (instances - 1) * 1_000L / StatusIntervalPolicy.intervalMillis(instances);
            assertTrue(messagesPerSecond <= 205, instances + " instances: " + messagesPerSecond);
        }
    }

    @Test
    void testSilentInstancesAreStillNoticedInTheLargestFleets() {
        assertEquals(300, StatusIntervalPolicy.intervalMillis(2_300));
    }
}
