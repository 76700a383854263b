package org.jasminehub.core.experts;

import org.jasminehub.core.internal.Checks;

/**
 * An estimate of the load of a group's experts and of the speed of its ranks.
 *
 * <p>The arrays are not copied; callers must not modify them.
 *
 * @param expertMillis {@code [layer][expert]}: the time to process the expert's tokens of one step on a rank of speed 1
 * @param rankSpeed the speed of each rank: 1 is nominal, less than 1 is a straggler
 */
@SuppressWarnings("ArrayRecordComponent")
public record GroupLoad(double[][] expertMillis, double[] rankSpeed) {
    /** Creates an estimate; every rank speed must be positive. */
    public GroupLoad {
        for (double speed : rankSpeed) {
            Checks.that(speed > 0, "rankSpeed", speed, "a value above 0");
        }
    }

    /** Returns the exponential moving average that gives {@code observed} the weight {@code weight}, 0 to 1. */
    public GroupLoad smoothed(GroupLoad observed, double weight) {
        Checks.inRange("weight", weight, 0, 1);
        double[][] millis = new double[expertMillis.length][];
        for (int layer = 0; layer < millis.length; layer++) {
            millis[layer] = blend(expertMillis[layer], observed.expertMillis[layer], weight);
        }
        return new GroupLoad(millis, blend(rankSpeed, observed.rankSpeed, weight));
    }

    private static double[] blend(double[] previous, double[] observed, double weight) {
        double[] blended = new double[previous.length];
        for (int i = 0; i < previous.length; i++) {
            blended[i] = previous[i] + weight * (observed[i] - previous[i]);
        }
        return blended;
    }
}
