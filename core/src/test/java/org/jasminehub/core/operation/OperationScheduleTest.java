package org.jasminehub.core.operation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.stream.LongStream;
import org.jasminehub.core.error.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Random schedules of crashes, freezes, losses, repeats, reorderings and table changes, each from a fixed seed. */
final class OperationScheduleTest {
    private static final long SEEDS = 1500;

    private static Optional<String> firstBrokenPromise(OperationFlaw flaw) {
        return LongStream.range(0, SEEDS)
                .mapToObj(seed -> new OperationWorld(seed, flaw).run().map(fault -> "seed " + seed + ": " + fault))
                .flatMap(Optional::stream)
                .findFirst();
    }

    @Test
    void testEveryPromiseHoldsInEverySchedule() {
        assertEquals(Optional.empty(), firstBrokenPromise(OperationFlaw.NONE));
    }

    @Test
    void testSchedulesReachEveryOutcome() {
        int[] counts = new int[Outcome.values().length];
        for (long seed = 0; seed < 200; seed++) {
            OperationWorld world = new OperationWorld(seed, OperationFlaw.NONE);
            world.run();
            for (Outcome outcome : Outcome.values()) {
                counts[outcome.ordinal()] += world.answeredWith(outcome);
            }
        }
        for (Outcome outcome : Outcome.values()) {
            assertTrue(counts[outcome.ordinal()] > 200, outcome + " " + counts[outcome.ordinal()]);
        }
    }

    @ParameterizedTest
    @EnumSource(value = OperationFlaw.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void testCheckFindsFlaw(OperationFlaw flaw) {
        Optional<String> found = firstBrokenPromise(flaw);
        assertTrue(found.isPresent(), flaw + " was not found");
    }
}
