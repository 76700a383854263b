package org.jasminehub.core.experts.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.jasminehub.core.experts.placement.CoordinatorChoice.Candidate;
import org.junit.jupiter.api.Test;

final class CoordinatorChoiceTest {
    private static List<Candidate> candidates(int small, int large) {
        List<Candidate> result = new ArrayList<>();
        for (int index = 0; index < small; index++) {
            result.add(new Candidate("a-small-" + index, 0.72));
        }
        for (int index = 0; index < large; index++) {
            result.add(new Candidate("b-large-" + index, 1.5));
        }
        return result;
    }

    @Test
    void testOnlyTheMostPowerfulInstancesCoordinate() {
        for (int group = 0; group < 100; group++) {
            String chosen = CoordinatorChoice.coordinator("g" + group, candidates(33, 15))
                    .orElseThrow();
            assertTrue(chosen.startsWith("b-large"), chosen);
        }
    }

    @Test
    void testGroupsAreSpreadOverEqualInstances() {
        Set<String> chosen = new HashSet<>();
        for (int group = 0; group < 30; group++) {
            chosen.add(CoordinatorChoice.coordinator("g" + group, candidates(0, 15))
                    .orElseThrow());
        }

        assertTrue(chosen.size() >= 10, chosen.toString());
    }

    @Test
    void testOrderOfTheCandidatesDoesNotMatter() {
        List<Candidate> shuffled = candidates(5, 5);
        Collections.shuffle(shuffled, new Random(1));

        assertEquals(
                CoordinatorChoice.coordinator("g", candidates(5, 5)), CoordinatorChoice.coordinator("g", shuffled));
    }

    @Test
    void testLossOfAnInstanceMovesOnlyItsGroups() {
        List<Candidate> all = candidates(0, 8);
        Candidate lost = all.get(3);
        List<Candidate> remaining =
                all.stream().filter(each -> !each.equals(lost)).toList();
        for (int group = 0; group < 50; group++) {
            String before = CoordinatorChoice.coordinator("g" + group, all).orElseThrow();
            if (!before.equals(lost.name())) {
                assertEquals(Optional.of(before), CoordinatorChoice.coordinator("g" + group, remaining));
            }
        }
    }

    @Test
    void testInstancesThatStateNoCapacityCanCoordinate() {
        assertEquals(Optional.of("a"), CoordinatorChoice.coordinator("g", List.of(new Candidate("a", 0))));
        assertEquals(Optional.empty(), CoordinatorChoice.coordinator("g", List.of()));
    }
}
