package org.jasminehub.core.experts;

import java.util.Arrays;

/**
 * The time of one step of a lock-step group.
 *
 * @param stepMillis the sum over layers of the slowest rank's time
 * @param idealMillis the time if every layer's work were spread over the ranks by their speed, a lower bound
 */
public record StepTime(double stepMillis, double idealMillis) {
    /** Returns the step time of {@code map} under {@code load}; an expert's tokens are split evenly over its replicas. */
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

    /** Returns the slowest rank's time over the mean, 1 for a balanced group. */
    public double skew() {
        return idealMillis == 0 ? 1 : stepMillis / idealMillis;
    }

    /** Returns the time that a step loses to its slowest ranks. */
    public double lostMillis() {
        return stepMillis - idealMillis;
    }
}
