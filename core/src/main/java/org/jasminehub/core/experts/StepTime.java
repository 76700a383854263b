package org.jasminehub.core.experts;

import java.util.Arrays;

/**
 * The time of one step of a group whose ranks run in lock step.
 *
 * @param stepMillis the sum of the slowest rank's time over all layers
 * @param idealMillis a lower bound: the time if the work of every layer were divided among the ranks in proportion to
 *     their speed
 */
public record StepTime(double stepMillis, double idealMillis) {
    /**
     * Returns the step time of {@code map} under {@code load}; an expert's tokens are divided evenly among its
     * replicas.
     */
    public static StepTime of(ExpertMap map, GroupLoad load) {
        double step = 0;
        double ideal = 0;
        double speed = Arrays.stream(load.rankSpeed()).sum();
        for (int layer = 0; layer < map.layers(); layer++) {
            step += new LayerBalance(map, load, layer).maxMillis();
            ideal += Arrays.stream(load.expertMillis()[layer]).sum() / speed;
        }
        return new StepTime(step, ideal);
    }

    /** Returns the ratio of the slowest rank's time to the mean; 1 means balanced. */
    public double skew() {
        return idealMillis == 0 ? 1 : stepMillis / idealMillis;
    }

    /** Returns the time per step that is lost by waiting for the slowest ranks. */
    public double lostMillis() {
        return stepMillis - idealMillis;
    }
}
