package org.jasminehub.core.overload;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** An immutable number of calls for each priority, 0 being the highest. */
public final class PriorityCounts {
    /** The number of priorities that routes and workspaces can have. */
    public static final int PRIORITIES = 10;

    /** No calls. */
    public static final PriorityCounts NONE = new PriorityCounts(new int[PRIORITIES]);

    /** More calls of one priority than an instance can hold or start within a second. */
    private static final int MAX_COUNT = 1_000_000;

    private final int[] counts;

    private PriorityCounts(int[] counts) {
        this.counts = counts;
    }

    /** Returns the counts in {@code values}, or empty if there are too many or a value is negative or too large. */
    public static Optional<PriorityCounts> parse(List<Integer> values) {
        if (values.size() > PRIORITIES || values.stream().anyMatch(value -> value < 0 || value > MAX_COUNT)) {
            return Optional.empty();
        }
        int[] counts = new int[PRIORITIES];
        for (int priority = 0; priority < values.size(); priority++) {
            counts[priority] = values.get(priority);
        }
        return Optional.of(new PriorityCounts(counts));
    }

    /** Returns whether {@code value} is a possible number of calls. */
    static boolean isValid(int value) {
        return value >= 0 && value <= MAX_COUNT;
    }

    /** Returns these counts with {@code change} added to that of {@code priority}. */
    PriorityCounts with(int priority, int change) {
        int[] next = counts.clone();
        next[priority] += change;
        return new PriorityCounts(next);
    }

    PriorityCounts plus(PriorityCounts other) {
        return combine(other, 1);
    }

    PriorityCounts minus(PriorityCounts other) {
        return combine(other, -1);
    }

    private PriorityCounts combine(PriorityCounts other, int sign) {
        int[] next = new int[PRIORITIES];
        for (int priority = 0; priority < PRIORITIES; priority++) {
            next[priority] = counts[priority] + sign * other.counts[priority];
        }
        return new PriorityCounts(next);
    }

    /** Returns the number of calls of {@code priority}. */
    public int get(int priority) {
        return counts[priority];
    }

    /** Returns the number of calls of higher priority than {@code priority}. */
    public int above(int priority) {
        int sum = 0;
        for (int higher = 0; higher < priority; higher++) {
            sum += counts[higher];
        }
        return sum;
    }

    /** Returns the number of calls of all priorities. */
    public int total() {
        return above(PRIORITIES);
    }

    /** Returns the counts from priority 0 to the lowest priority with calls. */
    public List<Integer> toList() {
        List<Integer> values = new ArrayList<>();
        for (int priority = 0; priority < PRIORITIES && above(priority) < total(); priority++) {
            values.add(counts[priority]);
        }
        return values;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PriorityCounts that && Arrays.equals(counts, that.counts);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(counts);
    }

    @Override
    public String toString() {
        return toList().toString();
    }
}
