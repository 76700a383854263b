package org.jasminehub.core.operation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.stream.LongStream;
import org.jasminehub.core.error.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Runs simulations with random crashes, process pauses, table changes, and lost, duplicated or reordered messages. Each
 * schedule is derived from a fixed seed.
 */
final class OperationSimulationTest {
    private static final long SEEDS = 1500;

    private static Optional<String> firstViolation(OperationDefect defect) {
        return LongStream.range(0, SEEDS)
                .mapToObj(seed ->
                        new OperationSimulation(seed, defect).run().map(violation -> "seed " + seed + ": " + violation))
                .flatMap(Optional::stream)
                .findFirst();
    }

    @Test
    void testInvariantsHoldInEverySchedule() {
        assertEquals(Optional.empty(), firstViolation(OperationDefect.NONE));
    }

    @Test
    void testSchedulesProduceEveryOutcome() {
        int[] counts = new int[Outcome.values().length];
        for (long seed = 0; seed < 200; seed++) {
            OperationSimulation simulation = new OperationSimulation(seed, OperationDefect.NONE);
            simulation.run();
            for (Outcome outcome : Outcome.values()) {
                counts[outcome.ordinal()] += simulation.countAnswers(outcome);
            }
        }
        for (Outcome outcome : Outcome.values()) {
            assertTrue(counts[outcome.ordinal()] > 200, outcome + " " + counts[outcome.ordinal()]);
        }
    }

    @ParameterizedTest
    @EnumSource(value = OperationDefect.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void testChecksDetectDefect(OperationDefect defect) {
        Optional<String> found = firstViolation(defect);
        assertTrue(found.isPresent(), defect + " was not detected");
    }
}
