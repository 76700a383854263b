package org.jasminehub.core.experts;

import org.jasminehub.core.internal.Checks;

/**
 * An estimate of a group's load and of its ranks' speed.
 *
 * <p>The arrays are not copied and must not change afterwards.
 *
 * @param expertMillis {@code [layer][expert]}: the time that an expert's tokens of one step take on a rank of speed 1
 * @param rankSpeed each rank's speed, 1 for nominal, less for a straggler
 */
@SuppressWarnings("ArrayRecordComponent")
public record GroupLoad(double[][] expertMillis, double[] rankSpeed) {
    /** Creates a checked estimate. */
    public GroupLoad {
        for (double speed : rankSpeed) {
            Checks.that(speed > 0, "rankSpeed", speed, "a value above 0");
        }
    }

    /** Returns an estimate that follows {@code observed} by the share {@code weight}, 0 to 1, and keeps the rest. */
    public GroupLoad smoothed(GroupLoad observed, double weight) {
        Checks.inRange("weight", weight, 0, 1);
        double[][] millis = new double[expertMillis.length][];
        for (int layer = 0; layer < millis.length; layer++) {
            millis[layer] = blend(expertMillis[layer], observed.expertMillis[layer], weight);
        }
        return new GroupLoad(millis, blend(rankSpeed, observed.rankSpeed, weight));
    }

    private static double[] blend(double[] old, double[] observed, double weight) {
        double[] blended = new double[old.length];
        for (int i = 0; i < old.length; i++) {
            blended[i] = old[i] + weight * (observed[i] - old[i]);
        }
        return blended;
    }
}
