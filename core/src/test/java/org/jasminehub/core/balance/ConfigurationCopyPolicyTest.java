package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ConfigurationCopyPolicyTest {
    private static final String PEER = "entry-0";
    private static final long STATUS_MILLIS = 100;

    private final ManualClock clock = new ManualClock(0);
    private final List<String> names =
            IntStream.range(0, 43).mapToObj(index -> "entry-" + index).toList();
    private final List<ConfigurationCopyPolicy> policies = new ArrayList<>();

    ConfigurationCopyPolicyTest() {
        names.forEach(name -> policies.add(new ConfigurationCopyPolicy(name, clock)));
    }

    private void apply(long version) {
        policies.forEach(policy -> policy.onInForce(version));
    }

    /** Returns how many of the other instances send a copy to the peer now. */
    private long senders(long peerVersion) {
        return policies.stream()
                .skip(1)
                .filter(policy -> policy.trySend(PEER, peerVersion, names))
                .count();
    }

    /** Versions every 60 ms for 4 s, each of which the peer has 150 ms later than the others. */
    @Nested
    final class Storm {
        /** Guards against a copy of each version from each instance to each other one. */
        @Test
        void testAPeerThatReadsByItselfGetsNoCopy() {
            long copies = 0;
            for (long nowMillis = 0; nowMillis < 4_000; nowMillis += 10) {
                if (nowMillis % 60 == 0) {
                    apply(1 + nowMillis / 60);
                }
                if (nowMillis % STATUS_MILLIS == 0 && nowMillis > 150) {
                    copies += senders(1 + (nowMillis - 150) / 60);
                }
                clock.advanceMillis(10);
            }
            assertEquals(0, copies);
        }

        /** Guards against a peer without the store that keeps an old configuration during a storm. */
        @Test
        void testAPeerThatStaysBehindGetsOneCopyASecondFromTwoInstances() {
            long copies = 0;
            long firstMillis = -1;
            for (long nowMillis = 0; nowMillis < 1_400; nowMillis += 10) {
                if (nowMillis % 60 == 0) {
                    apply(2 + nowMillis / 60);
                }
                if (nowMillis % STATUS_MILLIS == 0) {
                    copies += senders(1);
                    firstMillis = firstMillis < 0 && copies > 0 ? nowMillis : firstMillis;
                }
                clock.advanceMillis(10);
            }
            assertEquals(2, copies);
            assertEquals(ConfigurationCopyPolicy.READ_MILLIS, firstMillis);
        }
    }

    @Test
    void testAPeerWithoutAConfigurationGetsItAtOnceFromTwoInstances() {
        apply(7);
        assertEquals(2, senders(0));
        clock.advanceMillis(ConfigurationCopyPolicy.READ_MILLIS);
        assertEquals(40, senders(0));
    }

    @Test
    void testAllInstancesSendIfTheTwoSendersFailed() {
        apply(7);
        apply(8);
        clock.advanceMillis(ConfigurationCopyPolicy.SENDERS_FAILED_MILLIS);
        assertEquals(42, senders(7));
    }

    @Test
    void testAPeerWithTheSameOrANewerVersionGetsNone() {
        apply(7);
        clock.advanceMillis(10_000);
        assertFalse(policies.get(1).trySend(PEER, 7, names));
        assertFalse(policies.get(1).trySend(PEER, 8, names));
        assertTrue(policies.stream().skip(1).anyMatch(policy -> policy.trySend(PEER, 6, names)));
    }
}
