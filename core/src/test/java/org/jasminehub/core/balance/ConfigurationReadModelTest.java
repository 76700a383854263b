package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays the reads of the configuration log with faults, under the rule before the policy and under the policy. */
final class ConfigurationReadModelTest {
    /** From this age on, no key is honoured at a revocation bound of 5 s. */
    private static final long UNUSABLE_MILLIS = 4_500;

    /** The spread limit, a check interval and a round trip. */
    private static final long OLDEST_WITH_FAULTS_MILLIS = 2_700;

    private static final long WARM_UP_MILLIS = 12_000;
    private static final long RUN_MILLIS = 30_000;

    /** Large fleets average out the phases of their instances. */
    private static int seeds(int size) {
        return size < 100 ? 4 : 1;
    }

    private static ConfigurationReadFleet play(
            String name, int size, boolean isOldRule, long seed, Consumer<ConfigurationReadFleet> fault) {
        ConfigurationReadFleet fleet = new ConfigurationReadFleet(size, isOldRule, seed);
        fleet.run(WARM_UP_MILLIS);
        fleet.measure();
        fault.accept(fleet);
        fleet.run(RUN_MILLIS);
        System.out.printf(
                Locale.ROOT,
                "%s, %d instances, %s: %.2f calls/s, %.2f echoes/s an instance, oldest %d ms%n",
                name,
                size,
                isOldRule ? "before" : "after",
                fleet.callsPerSecond(),
                fleet.echoesPerSecond(),
                fleet.oldestMillis());
        return fleet;
    }

    /** Plays a fault with both rules; returns the oldest state under the policy. */
    private static long oldest(String name, int size, Consumer<ConfigurationReadFleet> fault) {
        long oldest = 0;
        play(name, size, true, 0, fault);
        for (long seed = 0; seed < seeds(size); seed++) {
            oldest = Math.max(oldest, play(name, size, false, seed, fault).oldestMillis());
        }
        return oldest;
    }

    /** Guards against instances that rely on readers and yet read as often as before. */
    @ParameterizedTest
    @ValueSource(ints = {12, 48, 300})
    void testWithoutFaultsFewerCallsAndAgesBelowTheLimit(int size) {
        ConfigurationReadFleet before = play("no fault", size, true, 0, fleet -> {});
        for (long seed = 0; seed < seeds(size); seed++) {
            ConfigurationReadFleet after = play("no fault", size, false, seed, fleet -> {});

            assertTrue(after.callsPerSecond() < 0.55 * before.callsPerSecond());
            assertTrue(after.oldestMillis() < 2_000, after.oldestMillis() + " ms");
            assertTrue(after.echoesPerSecond() < 4, after.echoesPerSecond() + " echoes");
        }
    }

    @Test
    void testASmallFleetReadsAsBefore() {
        ConfigurationReadFleet before = play("no fault", 7, true, 0, fleet -> {});
        ConfigurationReadFleet after = play("no fault", 7, false, 0, fleet -> {});

        assertEquals(before.callsPerSecond(), after.callsPerSecond());
        assertEquals(before.oldestMillis(), after.oldestMillis());
    }

    @ParameterizedTest
    @ValueSource(ints = {12, 48, 300})
    void testAKilledReader(int size) {
        assertTrue(oldest("reader killed", size, fleet -> fleet.readers().get(0).isLost = true)
                < OLDEST_WITH_FAULTS_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(ints = {12, 48, 300})
    void testAFrozenReader(int size) {
        long oldest = oldest("reader frozen for 3 s", size, fleet -> {
            var reader = fleet.readers().get(0);
            reader.isLost = true;
            fleet.run(3_000);
            reader.isLost = false;
        });

        assertTrue(oldest < UNUSABLE_MILLIS, oldest + " ms");
    }

    @ParameterizedTest
    @ValueSource(ints = {12, 48, 300})
    void testBothReadersKilledAtOnce(int size) {
        assertTrue(oldest("both readers killed", size, fleet -> fleet.readers().forEach(each -> each.isLost = true))
                < OLDEST_WITH_FAULTS_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(ints = {12, 48, 300})
    void testReadersThatDoNotReachTheStore(int size) {
        long oldest = oldest("readers cut from the store", size, fleet -> {
            var readers = fleet.readers();
            readers.forEach(each -> each.isCutFromStore = true);
            fleet.run(3_000);
            readers.forEach(each -> each.isCutFromStore = false);
        });

        assertTrue(oldest < UNUSABLE_MILLIS, oldest + " ms");
    }

    @ParameterizedTest
    @ValueSource(ints = {12, 48, 300})
    void testDomainsCutFromEachOther(int size) {
        assertTrue(oldest("domains cut", size, fleet -> fleet.areDomainsCut = true) < OLDEST_WITH_FAULTS_MILLIS);
    }

    /** Guards against long waits that keep the age high after an outage. */
    @ParameterizedTest
    @ValueSource(ints = {12, 48, 300})
    void testStoreAwayAndBack(int size) {
        long oldest = oldest("store away for 1.5 s", size, fleet -> {
            fleet.setStoreDown(true);
            fleet.run(1_500);
            fleet.setStoreDown(false);
        });

        assertTrue(oldest < UNUSABLE_MILLIS, oldest + " ms");
    }

    /** Guards against reads that are sent before the rewrite time ends and confirm nothing for a whole wait. */
    @ParameterizedTest
    @ValueSource(ints = {12, 48, 300})
    void testRestoreFromACopy(int size) {
        assertTrue(oldest("restore", size, ConfigurationReadFleet::restore) < UNUSABLE_MILLIS);
    }
}
