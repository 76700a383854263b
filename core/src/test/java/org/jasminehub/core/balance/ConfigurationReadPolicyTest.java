package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class ConfigurationReadPolicyTest {
    private static final long OLD_MILLIS = 2_400;

    private final ManualClock clock = new ManualClock(10_000);

    private static List<String> names(int size) {
        return IntStream.range(0, size).mapToObj(i -> "entry-" + i).toList();
    }

    private ConfigurationReadPolicy policyOf(String name, int size) {
        ConfigurationReadPolicy policy = new ConfigurationReadPolicy(name, clock);
        policy.onLiveInstances(names(size));
        return policy;
    }

    private static String nonReader(int size) {
        return names(size).stream()
                .filter(name -> !ConfigurationReadPolicy.readers(names(size)).contains(name))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void testInstancesOfASmallFleetReadAndAnswerAsBefore() {
        for (String name : names(7)) {
            ConfigurationReadPolicy policy = policyOf(name, 7);
            policy.onPeerConfirmation();

            assertEquals(ConfigurationWaitPolicy.waitMillis(7), policy.nextWaitMillis(7, 0));
            assertEquals(ConfigurationWaitPolicy.waitMillis(7), policy.nextWaitMillis(7, 2_000));
            assertFalse(policy.mustReadNow(OLD_MILLIS));
            assertTrue(policy.answers(900));
        }
    }

    @Test
    void testOnlyAnInstanceWithARecentPeerConfirmationRelies() {
        ConfigurationReadPolicy policy = policyOf(nonReader(12), 12);

        assertEquals(1_800, policy.nextWaitMillis(12, 0));
        policy.onPeerConfirmation();
        assertEquals(ConfigurationReadPolicy.RELYING_WAIT_MILLIS, policy.nextWaitMillis(12, 0));
        clock.advanceMillis(2_000);
        assertEquals(1_800, policy.nextWaitMillis(12, 0));
    }

    /** Guards against keys that are no longer honoured although the store can be reached. */
    @Test
    void testAnOldAgeEndsTheLongWaitOnceAndIsFollowedByUsualWaits() {
        ConfigurationReadPolicy policy = policyOf(nonReader(12), 12);
        policy.onPeerConfirmation();
        policy.nextWaitMillis(12, 0);

        assertFalse(policy.mustReadNow(1_900));
        assertTrue(policy.mustReadNow(OLD_MILLIS));
        assertFalse(policy.mustReadNow(OLD_MILLIS));
        policy.onPeerConfirmation();
        assertEquals(1_800, policy.nextWaitMillis(12, 0));
    }

    @Test
    void testAnInstanceThatBecomesAReaderEndsItsLongWait() {
        List<String> names = names(12);
        List<String> readers = ConfigurationReadPolicy.readers(names);
        List<String> remaining =
                names.stream().filter(name -> !name.equals(readers.get(0))).toList();
        String next = ConfigurationReadPolicy.readers(remaining).get(1);
        ConfigurationReadPolicy policy = policyOf(next, 12);
        policy.onPeerConfirmation();
        assertEquals(ConfigurationReadPolicy.RELYING_WAIT_MILLIS, policy.nextWaitMillis(12, 0));

        policy.onLiveInstances(remaining);

        assertTrue(policy.mustReadNow(100));
        assertEquals(1_200, policy.nextWaitMillis(12, 0));
    }

    @Test
    void testTheFirstReadAfterARestoreThatCanConfirmReturnsAtOnce() {
        ConfigurationReadPolicy policy = policyOf(nonReader(48), 48);
        policy.onPeerConfirmation();

        assertEquals(2_200, policy.nextWaitMillis(48, 2_200));
        assertEquals(0, policy.nextWaitMillis(48, 0));
        assertTrue(policy.nextWaitMillis(48, 0) > 0);
    }

    @Test
    void testPeersAnswerOnlyWhenTheReadersDidNot() {
        ConfigurationReadPolicy policy = policyOf(nonReader(48), 48);

        assertFalse(policy.answers(900));
        assertTrue(policy.answers(1_900));
        assertTrue(
                policyOf(ConfigurationReadPolicy.readers(names(48)).get(0), 48).answers(900));
    }
}
