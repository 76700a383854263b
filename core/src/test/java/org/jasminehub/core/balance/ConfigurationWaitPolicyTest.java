package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class ConfigurationWaitPolicyTest {
    private static final long REVOCATION_MILLIS = 5_000;

    @Test
    void testInstancesWithFewPeersReadOften() {
        assertEquals(1_600, ConfigurationWaitPolicy.waitMillis(1));
        assertEquals(1_600, ConfigurationWaitPolicy.waitMillis(7));
    }

    @Test
    void testCallsOfALargeFleetGrowMoreSlowlyThanItsSize() {
        double callsOfTen = 10_000.0 / ConfigurationWaitPolicy.waitMillis(10);
        double callsOfTwenty = 20_000.0 / ConfigurationWaitPolicy.waitMillis(20);

        assertTrue(callsOfTwenty < 1.1 * callsOfTen, callsOfTwenty + " calls a second after " + callsOfTen);
    }

    @Test
    void testAWaitThatFailsCanBeRepeatedWithinTheRevocationBound() {
        assertTrue(ConfigurationWaitPolicy.waitMillis(2_300) <= 0.6 * REVOCATION_MILLIS);
    }
}
