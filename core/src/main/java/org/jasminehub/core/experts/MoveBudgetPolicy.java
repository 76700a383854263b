package org.jasminehub.core.experts;

import java.util.stream.IntStream;
import org.jasminehub.core.internal.Checks;

/**
 * Divides the weight store's bandwidth among groups, and limits the rate at which a group loads experts so that its
 * streams keep their target time between tokens.
 *
 * <p>Immutable and thread-safe.
 *
 * @param storeBytesPerSecond the total rate of the weight store
 * @param groupBytesPerSecond the maximum rate at which the ranks of one group can load
 * @param fullRateSlowdown the relative increase of the step time while a group loads at {@code groupBytesPerSecond}
 */
public record MoveBudgetPolicy(double storeBytesPerSecond, double groupBytesPerSecond, double fullRateSlowdown) {
    /** The share of its maximum rate at which a group loads while its steps exceed the target time between tokens. */
    private static final double SLOW_GROUP_RATE_SHARE = 0.25;

    /** Creates a policy; all rates must be positive. */
    public MoveBudgetPolicy {
        Checks.that(storeBytesPerSecond > 0, "storeBytesPerSecond", storeBytesPerSecond, "a value above 0");
        Checks.that(groupBytesPerSecond > 0, "groupBytesPerSecond", groupBytesPerSecond, "a value above 0");
        Checks.that(fullRateSlowdown > 0, "fullRateSlowdown", fullRateSlowdown, "a value above 0");
    }

    /**
     * Returns the max-min fair rate of each group in bytes per second: no group gets more than it requests, and unused
     * bandwidth is divided equally among the other groups.
     */
    public double[] fairRates(double[] wantedBytesPerSecond) {
        double[] rates = new double[wantedBytesPerSecond.length];
        double remaining = storeBytesPerSecond;
        int remainingGroups = rates.length;
        int[] byDemand = IntStream.range(0, rates.length)
                .boxed()
                .sorted((first, second) -> Double.compare(wantedBytesPerSecond[first], wantedBytesPerSecond[second]))
                .mapToInt(Integer::intValue)
                .toArray();
        for (int group : byDemand) {
            rates[group] = Math.min(wantedBytesPerSecond[group], remaining / remainingGroups);
            remaining -= rates[group];
            remainingGroups--;
        }
        return rates;
    }

    /**
     * Returns the rate at which a group may load experts without a step exceeding {@code tokenGapMillis}.
     *
     * <p>If steps already exceed that time, the group still gets a share of its maximum rate; otherwise it could never
     * load the experts that shorten its steps.
     */
    public double streamSafeRate(double stepMillis, double tokenGapMillis) {
        Checks.that(stepMillis > 0, "stepMillis", stepMillis, "a value above 0");
        if (stepMillis > tokenGapMillis) {
            return SLOW_GROUP_RATE_SHARE * groupBytesPerSecond;
        }
        double headroom = tokenGapMillis / stepMillis - 1;
        double share = Math.min(1, headroom / fullRateSlowdown);
        return Math.max(0, share) * groupBytesPerSecond;
    }

    /** Returns the number of experts that can be loaded in {@code intervalMillis} at the lower of the two rates. */
    public int maxMoves(double fairRate, double streamSafeRate, long intervalMillis, long expertSizeBytes) {
        double bytes = Math.min(fairRate, streamSafeRate) * intervalMillis / 1000;
        return (int) Math.min(Integer.MAX_VALUE, bytes / expertSizeBytes);
    }
}
