package org.jasminehub.core.experts.placement;

/**
 * Determines how often the ranks of a group report how often their requests chose each expert.
 *
 * <p>Load pattern: the counts of one round are ranks times layers times experts numbers. For a group of 64 ranks with
 * 12 layers of 256 experts that is 200,000 numbers, about half a megabyte, which a coordinator can neither receive nor
 * add up ten times a second beside its callers.
 */
public final class CountSampling {
    /** About the time of one pass of a loaded group; a shift of demand is detected within a few of these. */
    private static final long MIN_INTERVAL_MILLIS = 95;

    /** With larger intervals, a shift would be detected too late for a change before the next one. */
    private static final long MAX_INTERVAL_MILLIS = 300;

    /** Numbers that a coordinator can receive in one interval; at two to three bytes each, 20 Mbit/s. */
    private static final long NUMBERS_PER_INTERVAL = 100_000;

    private CountSampling() {}

    /** Returns the time between two reports of a rank's counts in a group of {@code ranks} ranks. */
    public static long intervalMillis(int ranks, int layers, int experts) {
        long numbers = (long) ranks * layers * experts;
        long scaledMillis = MIN_INTERVAL_MILLIS * numbers / NUMBERS_PER_INTERVAL;
        return Math.min(MAX_INTERVAL_MILLIS, Math.max(MIN_INTERVAL_MILLIS, scaledMillis));
    }
}
