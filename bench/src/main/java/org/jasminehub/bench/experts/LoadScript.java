package org.jasminehub.bench.experts;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.jasminehub.core.experts.GroupLoad;

/** The load of a group over time: a long-tailed popularity that drifts, bursts or meets a slow rank. */
final class LoadScript {
    private static final double STEP_LAYER_MILLIS = 0.3;
    private static final double ZIPF_EXPONENT = 0.6;
    private static final double DRIFT = 0.08;
    private static final double BURST_FACTOR = 4;
    private static final double STRAGGLER_SPEED = 0.6;
    private static final int QUARTER = 4;

    private final Scenario scenario;
    private final int epochs;
    private final SplittableRandom random;
    private final double[][] logWeights;
    private final double[] speed;
    private int epoch;

    LoadScript(Scenario scenario, int ranks, int experts, int layers, int epochs, long seed) {
        this.scenario = scenario;
        this.epochs = epochs;
        this.random = new SplittableRandom(seed);
        this.logWeights = new double[layers][experts];
        this.speed = new double[ranks];
        for (double[] layer : logWeights) {
            Arrays.setAll(layer, expert -> -ZIPF_EXPONENT * Math.log(expert + 1.0));
            shuffle(layer);
        }
    }

    /** Returns the load of the next epoch; in the middle half the scenario's disturbance is in force. */
    GroupLoad next() {
        boolean disturbed = epoch >= epochs / QUARTER && epoch < epochs - epochs / QUARTER;
        epoch++;
        Arrays.fill(speed, 1.0);
        speed[0] = disturbed && scenario == Scenario.STRAGGLER ? STRAGGLER_SPEED : 1.0;
        double[][] millis = new double[logWeights.length][];
        for (int layer = 0; layer < millis.length; layer++) {
            drift(logWeights[layer]);
            millis[layer] = normalized(logWeights[layer], disturbed && scenario == Scenario.BURST);
        }
        return new GroupLoad(millis, speed.clone());
    }

    private double[] normalized(double[] logs, boolean burst) {
        double[] weights = Arrays.stream(logs).map(Math::exp).toArray();
        if (burst) {
            weights[0] *= BURST_FACTOR;
            weights[1] *= BURST_FACTOR;
        }
        double sum = Arrays.stream(weights).sum();
        double total = STEP_LAYER_MILLIS * speed.length;
        return Arrays.stream(weights).map(weight -> weight / sum * total).toArray();
    }

    private void drift(double[] logs) {
        for (int expert = 0; expert < logs.length; expert++) {
            double mean = -ZIPF_EXPONENT * Math.log(logs.length / 2.0);
            double pull = DRIFT * DRIFT * (mean - logs[expert]);
            logs[expert] += pull + DRIFT * (random.nextDouble() * 2 - 1);
        }
    }

    private void shuffle(double[] values) {
        for (int i = values.length - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            double value = values[i];
            values[i] = values[j];
            values[j] = value;
        }
    }
}
