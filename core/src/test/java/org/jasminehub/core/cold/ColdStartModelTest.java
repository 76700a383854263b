package org.jasminehub.core.cold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The load of deployment T on endpoints that turn cold, with the old choice beside the new one. */
final class ColdStartModelTest {
    private static final double PER_SECOND = 23;
    private static final double CALLS_PER_SECOND = 179;
    private static final long READ_MILLIS = 2_000;
    private static final long SECOND = 1_000;

    private static double bound(double requestsPerSecond) {
        return requestsPerSecond * 1.5 + 5;
    }

    private static void turnDomainCold(ColdFleet fleet) {
        fleet.endpoints.subList(0, ColdFleet.DOMAIN).forEach(fleet::turnCold);
    }

    private static void report(String format, Object... arguments) {
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }

    private static void reportBoth(int instances, int burst, int seed, ColdFleet fleet, ColdFleet old) {
        report(
                "%d instances, load x %d, seed %d: largest sum in a second %d (known cold: %d), served %d, refused %d;"
                        + " old choice: %d, served %d, refused %d",
                instances,
                burst,
                seed,
                fleet.largestSum(SECOND, 0),
                fleet.largestSum(SECOND, READ_MILLIS),
                fleet.served,
                fleet.refused,
                old.largestSum(SECOND, 0),
                old.served,
                old.refused);
    }

    /** Endpoints turn cold, instances are killed, frozen and restarted, and hear only some of the others. */
    @Nested
    final class Faults {
        /** Twice the calls that all endpoints can serve. */
        private static final int OVERLOAD = 6;

        private ColdFleet run(int seed, int instances, int burst, boolean isNew) {
            ColdFleet fleet = new ColdFleet(seed, instances, PER_SECOND, CALLS_PER_SECOND * burst, isNew);
            SplittableRandom random = fleet.random();
            fleet.run(6_000);
            for (int round = 0; round < 8; round++) {
                if (round % 4 == 1) {
                    turnDomainCold(fleet);
                }
                for (int count = 0; count < 3; count++) {
                    fleet.turnCold(fleet.endpoints.get(random.nextInt(ColdFleet.ENDPOINTS)));
                    fleet.run(random.nextInt(200));
                }
                int[] parts = new int[instances];
                for (ColdFleet.Instance instance : fleet.instances) {
                    if (random.nextInt(8) == 0) {
                        fleet.kill(instance, 300 + random.nextInt(2_000));
                    } else if (random.nextInt(8) == 0) {
                        fleet.freeze(instance, 200 + random.nextInt(3_000));
                    }
                    parts[instances - 1 - fleet.instances.indexOf(instance)] = random.nextInt(2);
                }
                fleet.split(parts, round % 2 == 0 ? 0.3 : 0);
                fleet.run(1_500);
                fleet.split(new int[instances], 0);
                fleet.run(1_000);
            }
            return fleet;
        }

        /** Fails if faults of instances, or late registrations, let the sum exceed what a cold endpoint tolerates. */
        @ParameterizedTest
        @CsvSource({
            "7, 2, 1",
            "7, 2, 2",
            "7, 4, 3",
            "7, 4, 4",
            "48, 2, 1",
            "48, 2, 2",
            "48, 4, 3",
            "48, 4, 4",
            "300, 2, 1",
            "300, 4, 2"
        })
        void testAllInstancesTogetherStayWithinTheBound(int instances, int burst, int seed) {
            ColdFleet fleet = run(seed, instances, burst, true);
            ColdFleet old = run(seed, instances, burst, false);
            reportBoth(instances, burst, seed, fleet, old);
            assertTrue(fleet.largestSum(SECOND, 0) <= bound(PER_SECOND));
            assertTrue(fleet.largestSum(SECOND, READ_MILLIS) <= PER_SECOND);
        }

        /** Fails if calls that wait at all instances go to an endpoint at once because it was just seen idle. */
        @ParameterizedTest
        @CsvSource({"48, 1", "300, 2"})
        void testWaitingCallsOfAllInstancesDoNotGoToOneIdleEndpoint(int instances, int seed) {
            ColdFleet fleet = run(seed, instances, OVERLOAD, true);
            ColdFleet old = run(seed, instances, OVERLOAD, false);
            reportBoth(instances, OVERLOAD, seed, fleet, old);
            assertTrue(fleet.largestSum(SECOND, 0) <= bound(PER_SECOND));
            assertTrue(old.largestSum(SECOND, 0) > bound(PER_SECOND));
        }
    }

    /** All endpoints are cold all the time, and demand is far higher than the allowances. */
    @Nested
    final class Scarcity {
        private static final double DEMAND = 3_000;

        /** Largest share of lost statuses; a peer that is not heard four times in a row counts as lost. */
        private static final double MAX_LOST_SHARE = 0.5;

        /** Short enough that the slots of an endpoint are free, so that only the allowance limits. */
        private static final int CALL_MILLIS = 100;

        private ColdFleet run(int seed, int instances, double requestsPerSecond, boolean isSplit, long millis) {
            ColdFleet fleet = new ColdFleet(seed, instances, requestsPerSecond, DEMAND, true);
            fleet.setMeanCallMillis(CALL_MILLIS);
            fleet.run(1_500);
            if (isSplit) {
                int[] parts = new int[instances];
                for (int number = 0; number < instances; number++) {
                    parts[number] = number % 2;
                }
                fleet.split(parts, 0);
            }
            for (long end = fleet.now() + millis; fleet.now() < end; ) {
                fleet.endpoints.forEach(fleet::turnCold);
                if (seed % 2 == 0) {
                    fleet.kill(fleet.instances.get(fleet.random().nextInt(instances)), 30);
                }
                fleet.run(1_000);
            }
            return fleet;
        }

        /** Fails if two views together, or a process that restarts in the middle of a second, exceed the rate. */
        @ParameterizedTest
        @CsvSource({"7, 23", "48, 23", "300, 23", "7, 7.5", "48, 7.5", "48, 2", "300, 3"})
        void testTwoViewsStayWithinTheRate(int instances, double requestsPerSecond) {
            for (int seed = 1; seed <= 2; seed++) {
                long largest =
                        run(seed, instances, requestsPerSecond, true, 8_000).largestSum(SECOND, READ_MILLIS);
                report(
                        "%d instances in two views, %s a second, seed %d: largest sum %d",
                        instances, requestsPerSecond, seed, largest);
                assertTrue(largest <= requestsPerSecond);
            }
        }

        /** Splits the fleet in another way every 4 s, and kills instances for longer than others need to notice. */
        private ColdFleet runSlowly(int seed, int instances, double requestsPerSecond) {
            ColdFleet fleet = new ColdFleet(seed, instances, requestsPerSecond, DEMAND / 2, true);
            fleet.setMeanCallMillis(CALL_MILLIS);
            fleet.run(1_500);
            for (int second = 0; second < 36; second++) {
                fleet.endpoints.forEach(fleet::turnCold);
                int[] parts = new int[instances];
                for (int number = 0; number < instances; number++) {
                    parts[number] = second / 4 % 3 != 0 && (number + second / 4) % 3 == 0 ? 1 : 0;
                }
                fleet.split(parts, 0);
                fleet.kill(fleet.instances.get(fleet.random().nextInt(instances)), second % 2 == 0 ? 30 : 2_500);
                fleet.run(1_000);
            }
            return fleet;
        }

        /** Fails if rates below two requests a second are exceeded, or not used at all. */
        @ParameterizedTest
        @CsvSource({"7, 1", "48, 1", "300, 1", "7, 0.3", "48, 0.3"})
        void testSmallRatesHoldOverLongerWindows(int instances, double requestsPerSecond) {
            long windowMillis = (long) Math.ceil(2 * SECOND / requestsPerSecond);
            for (int seed = 1; seed <= 3; seed++) {
                ColdFleet fleet = runSlowly(seed, instances, requestsPerSecond);
                long inWindow = fleet.largestSum(windowMillis, READ_MILLIS);
                long inSecond = fleet.largestSum(SECOND, READ_MILLIS);
                report(
                        "%d instances in two views, %s a second, seed %d: largest sum %d in %d ms, %d in a second",
                        instances, requestsPerSecond, seed, inWindow, windowMillis, inSecond);
                assertTrue(inWindow <= requestsPerSecond * windowMillis / SECOND);
                assertEquals(1, inSecond);
            }
        }

        /** Fails if faults that make more than two views exceed what a cold endpoint tolerates. */
        @ParameterizedTest
        @CsvSource({"7, 1", "7, 2", "7, 3", "48, 1", "48, 2", "48, 3", "300, 1"})
        void testManyViewsStayWithinTheBound(int instances, int seed) {
            ColdFleet fleet = new ColdFleet(seed, instances, PER_SECOND, DEMAND, true);
            SplittableRandom random = fleet.random();
            fleet.setMeanCallMillis(CALL_MILLIS);
            fleet.run(1_500);
            for (int round = 0; round < 10; round++) {
                fleet.endpoints.forEach(fleet::turnCold);
                int[] parts = new int[instances];
                for (int number = 0; number < instances; number++) {
                    parts[number] = random.nextInt(1 + round % 4);
                    if (random.nextInt(8) == 0) {
                        fleet.kill(fleet.instances.get(number), 30 + random.nextInt(2_000));
                    } else if (random.nextInt(8) == 0) {
                        fleet.freeze(fleet.instances.get(number), 200 + random.nextInt(3_000));
                    }
                }
                fleet.split(parts, random.nextDouble() * MAX_LOST_SHARE);
                fleet.run(1_500);
            }
            long largest = fleet.largestSum(SECOND, READ_MILLIS);
            report("%d instances in many views, seed %d: largest sum in a second %d", instances, seed, largest);
            assertTrue(largest <= bound(PER_SECOND));
        }

        /** Fails if much of the allowance of one view goes unused although calls wait. */
        @ParameterizedTest
        @ValueSource(ints = {7, 48, 300})
        void testTheAllowanceIsUsed(int instances) {
            ColdFleet fleet = run(1, instances, PER_SECOND, false, 12_000);
            long from = 5_000;
            long arrivals = fleet.endpoints.stream()
                    .flatMap(endpoint -> endpoint.arrivals.stream())
                    .filter(arrival -> arrival >= from && arrival < fleet.now())
                    .count();
            double seconds = (fleet.now() - from) / (double) SECOND;
            double used = arrivals / seconds / ColdFleet.ENDPOINTS;
            int allowance = (int) (PER_SECOND / 2);
            report(
                    "%d instances: %.2f requests a second at each endpoint; unused %.1f %% of the allowance of one view,"
                            + " %.1f %% of the tolerated rate",
                    instances, used, 100 * (1 - used / allowance), 100 * (1 - used / PER_SECOND));
            assertTrue(used > 0.8 * allowance);
        }
    }
}
