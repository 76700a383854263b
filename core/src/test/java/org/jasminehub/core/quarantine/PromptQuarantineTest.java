package org.jasminehub.core.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.quarantine.PromptQuarantine.Adoption;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PromptQuarantineTest {
    private static final String COMMON = "common";
    private static final String BAD = "bad";

    private final ManualClock clock = new ManualClock(0);
    private final PromptQuarantine quarantine = new PromptQuarantine(clock);
    private int endpoints;

    private static PartCombination only(String part) {
        return new PartCombination(List.of(part));
    }

    private static CrashSuspect call(String request, String... parts) {
        return new CrashSuspect(request, Set.of(parts), "", 0);
    }

    private Set<PartCombination> crash(CrashSuspect... suspects) {
        clock.advanceMillis(1_000);
        return quarantine.onCrash(new EndpointCrash(new EndpointId("e-" + endpoints++), 1, List.of(suspects), 0));
    }

    private void output(String... parts) {
        clock.advanceMillis(1);
        quarantine.onOutput(List.of(parts));
    }

    /** Which part is blamed. */
    @Nested
    final class Attribution {
        @Test
        void testThePartInAllCrashesIsQuarantinedAfterThree() {
            output(COMMON);
            assertEquals(Set.of(), crash(call("r-1", COMMON, BAD, "a")));
            assertEquals(Set.of(), crash(call("r-1", COMMON, BAD, "a")));
            assertEquals(Set.of(only(BAD)), crash(call("r-2", COMMON, BAD, "b"), call("r-3", COMMON, "c")));
            assertTrue(quarantine.findQuarantined(List.of(COMMON, BAD)).isPresent());
            assertTrue(
                    quarantine.findQuarantined(List.of(COMMON, "a", "b", "c")).isEmpty());
        }

        @Test
        void testRetriesOfOneRequestDoNotBlameTheOtherPartsOfItsPrompt() {
            for (int attempt = 0; attempt < 4; attempt++) {
                assertEquals(Set.of(), crash(call("r-1", BAD, "a")));
            }
            assertEquals(Set.of(only(BAD)), crash(call("r-2", BAD, "b")));
        }

        @Test
        void testPartsThatWereAlwaysTogetherAreToldApartByACallWithOneOfThem() {
            for (int request = 0; request < 4; request++) {
                crash(call("r-" + request, COMMON, BAD));
            }
            assertEquals(Set.of(new PartCombination(List.of(BAD, COMMON))), quarantine.quarantined());
            assertTrue(quarantine.findQuarantined(List.of(COMMON, "a")).isEmpty());

            assertEquals(Set.of(COMMON), quarantine.onOutput(List.of(COMMON)));

            assertEquals(Set.of(only(BAD)), quarantine.quarantined());
        }

        @Test
        void testAPartThatAllRequestsShareIsNotBlamedWhileNothingIsServed() {
            output(COMMON);
            crash(call("r-1", COMMON, BAD), call("r-2", COMMON, "a"));
            crash(call("r-3", COMMON, BAD), call("r-2", COMMON, "a"));
            assertEquals(Set.of(only(BAD)), crash(call("r-4", COMMON, BAD)));
            assertEquals(Set.of(), crash(call("r-5", COMMON, BAD)));
            assertEquals(Set.of(), crash(call("r-6", COMMON, BAD)));
            assertEquals(Set.of(only(BAD)), quarantine.quarantined());
        }

        @Test
        void testSeveralReportsOfOneCrashCountOnce() {
            for (int report = 0; report < 5; report++) {
                quarantine.onCrash(new EndpointCrash(new EndpointId("e"), 1, List.of(call("r-" + report, BAD)), 0));
            }
            assertEquals(Set.of(), quarantine.quarantined());
        }

        @Test
        void testOutputBetweenCrashesClearsAPart() {
            for (int request = 0; request < 10; request++) {
                assertEquals(Set.of(), crash(call("r-" + request, "sound")));
                output("sound");
            }
        }

        @Test
        void testAPartThatBeganToCrashEndpointsIsBlamedByTheFifthCrash() {
            for (int call = 0; call < 3; call++) {
                output(COMMON, BAD);
                output(COMMON);
            }
            Set<PartCombination> blamed = new HashSet<>();
            for (int request = 0; request < 5; request++) {
                blamed.addAll(crash(call("r-" + request, COMMON, BAD)));
            }
            assertEquals(Set.of(only(BAD)), blamed);
        }

        @Test
        void testTwoPartsThatCrashEndpointsAreBothFound() {
            for (int request = 0; request < 3; request++) {
                crash(call("r-" + request, BAD, "a-" + request));
            }
            for (int request = 3; request < 6; request++) {
                crash(call("r-" + request, "bad-2", "a-" + request));
            }
            assertEquals(Set.of(only(BAD), only("bad-2")), quarantine.quarantined());
        }
    }

    /** Random traffic with a part that crashes endpoints; other calls wait at the same endpoints. */
    @Nested
    final class Simulation {
        private static final int SUBJECTS = 60;
        private static final int MAX_WAITING = 8;

        @Test
        void testOnlyTheCulpritIsQuarantinedByTheFifthCrash() {
            for (int seed = 0; seed < 500; seed++) {
                PromptQuarantine simulated = new PromptQuarantine(clock);
                Random random = new Random(seed);
                int crashes = 0;
                while (simulated.quarantined().isEmpty() && crashes < 5) {
                    serveSome(simulated, random);
                    List<CrashSuspect> suspects = new ArrayList<>();
                    suspects.add(call("bad-" + seed + "-" + crashes, COMMON, BAD, "s-" + random.nextInt(SUBJECTS)));
                    for (int waiting = random.nextInt(MAX_WAITING); waiting > 0; waiting--) {
                        suspects.add(call("r-" + random.nextInt(), COMMON, "s-" + random.nextInt(SUBJECTS)));
                    }
                    clock.advanceMillis(1_000);
                    simulated.onCrash(new EndpointCrash(new EndpointId("e-" + seed + "-" + crashes), 1, suspects, 0));
                    crashes++;
                }
                assertEquals(Set.of(only(BAD)), simulated.quarantined(), "seed " + seed);
            }
        }

        private void serveSome(PromptQuarantine simulated, Random random) {
            for (int served = random.nextInt(20); served > 0; served--) {
                clock.advanceMillis(1);
                simulated.onOutput(List.of(COMMON, "s-" + random.nextInt(SUBJECTS)));
            }
        }
    }

    /** When a quarantine begins and ends. */
    @Nested
    final class Term {
        @Test
        void testACallIsNotRetriedOnceItsPartsAreInTwoCrashes() {
            crash(call("r-1", BAD));
            assertFalse(quarantine.isSuspected(List.of(BAD)));
            crash(call("r-1", BAD));
            assertTrue(quarantine.isSuspected(List.of(BAD)));
        }

        @Test
        void testAnExpiredQuarantineIsRenewedForTwiceAsLongAfterOneCrash() {
            for (int request = 0; request < 3; request++) {
                crash(call("r-" + request, BAD));
            }
            clock.advanceMillis(PromptQuarantine.QUARANTINE_MILLIS);
            assertEquals(Set.of(), quarantine.quarantined());
            assertEquals(Set.of(only(BAD)), crash(call("r-9", BAD)));
            assertEquals(2 * PromptQuarantine.QUARANTINE_MILLIS, quarantine.remainingMillis(only(BAD)));
        }

        @Test
        void testOutputOfACallThatWasAlreadyRunningEndsTheQuarantine() {
            for (int request = 0; request < 3; request++) {
                crash(call("r-" + request, BAD));
            }
            assertEquals(Set.of(BAD), quarantine.onOutput(List.of(BAD)));
            assertEquals(Set.of(), quarantine.quarantined());
        }
    }

    /** Verdicts of other instances. */
    @Nested
    final class Sharing {
        @Test
        void testAVerdictIsAdoptedWithTheRestOfItsTerm() {
            assertEquals(new Adoption(only(BAD), Set.of()), quarantine.adopt(only(BAD), 5_000, 10_000));
            assertEquals(new Adoption(null, Set.of()), quarantine.adopt(only(BAD), 5_000, 10_000));
            assertEquals(5_000, quarantine.remainingMillis(only(BAD)));
        }

        @Test
        void testAVerdictIsDisprovedByOutputSinceTheFirstCrash() {
            output(BAD);
            clock.advanceMillis(9_000);
            assertEquals(new Adoption(null, Set.of(BAD)), quarantine.adopt(only(BAD), 5_000, 10_000));
            clock.advanceMillis(2_000);
            assertEquals(new Adoption(only(BAD), Set.of()), quarantine.adopt(only(BAD), 5_000, 10_000));
        }

        @Test
        void testAVerdictIsNarrowedByOutputOfSomeOfItsParts() {
            output(COMMON);
            PartCombination both = new PartCombination(List.of(COMMON, BAD));
            assertEquals(new Adoption(only(BAD), Set.of(COMMON)), quarantine.adopt(both, 5_000, 10_000));
        }

        @Test
        void testAStatementOfOutputElsewhereEndsTheQuarantine() {
            quarantine.adopt(only(BAD), 5_000, 10_000);
            assertTrue(quarantine.clear(BAD));
            assertEquals(Set.of(), quarantine.quarantined());
        }

        @Test
        void testAnOverlongTermIsBounded() {
            quarantine.adopt(only(BAD), Long.MAX_VALUE, 0);
            assertEquals(PromptQuarantine.MAX_QUARANTINE_MILLIS, quarantine.remainingMillis(only(BAD)));
        }
    }
}
