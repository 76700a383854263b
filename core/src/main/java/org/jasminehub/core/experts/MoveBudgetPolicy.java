package org.jasminehub.core.experts;

import java.util.stream.IntStream;
import org.jasminehub.core.internal.Checks;

/**
 * Shares the weight store's rate among groups and keeps loads from slowing streams past their time between tokens.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param storeBytesPerSecond the rate that the weight store gives everyone together
 * @param groupBytesPerSecond the most that one group's ranks take in
 * @param fullRateSlowdown by which share of itself a step grows while its group loads at that rate
 */
public record MoveBudgetPolicy(double storeBytesPerSecond, double groupBytesPerSecond, double fullRateSlowdown) {
    /** The share of its rate at which a group loads while its steps are longer than the time between tokens. */
    private static final double LATE_GROUP_SHARE = 0.25;

    /** Creates a checked policy. */
    public MoveBudgetPolicy {
        Checks.that(storeBytesPerSecond > 0, "storeBytesPerSecond", storeBytesPerSecond, "a value above 0");
        Checks.that(groupBytesPerSecond > 0, "groupBytesPerSecond", groupBytesPerSecond, "a value above 0");
        Checks.that(fullRateSlowdown > 0, "fullRateSlowdown", fullRateSlowdown, "a value above 0");
    }

    /**
     * Returns each group's rate in bytes a second: none gets more than it wants, and what one leaves goes to the others
     * in equal parts.
     */
    public double[] fairRates(double[] wantedBytesPerSecond) {
        double[] rates = new double[wantedBytesPerSecond.length];
        double left = storeBytesPerSecond;
        int waiting = rates.length;
        int[] order = IntStream.range(0, rates.length)
                .boxed()
                .sorted((one, other) -> Double.compare(wantedBytesPerSecond[one], wantedBytesPerSecond[other]))
                .mapToInt(Integer::intValue)
                .toArray();
        for (int group : order) {
            rates[group] = Math.min(wantedBytesPerSecond[group], left / waiting);
            left -= rates[group];
            waiting--;
        }
        return rates;
    }

    /**
     * Returns the rate at which a group may load without a step becoming longer than {@code tokenGapMillis}.
     *
     * <p>Where steps are longer than that already, a small share of the rate is left, or the group could never load what
     * shortens them.
     */
    public double streamSafeRate(double stepMillis, double tokenGapMillis) {
        Checks.that(stepMillis > 0, "stepMillis", stepMillis, "a value above 0");
        if (stepMillis > tokenGapMillis) {
            return LATE_GROUP_SHARE * groupBytesPerSecond;
        }
        double headroom = tokenGapMillis / stepMillis - 1;
        double share = Math.min(1, headroom / fullRateSlowdown);
        return Math.max(0, share) * groupBytesPerSecond;
    }

    /** Returns how many experts may be loaded in {@code intervalMillis} at the lower of the two rates. */
    public int maxMoves(double fairRate, double streamSafeRate, long intervalMillis, long expertSizeBytes) {
        double bytes = Math.min(fairRate, streamSafeRate) * intervalMillis / 1000;
        return (int) Math.min(Integer.MAX_VALUE, bytes / expertSizeBytes);
    }
}
