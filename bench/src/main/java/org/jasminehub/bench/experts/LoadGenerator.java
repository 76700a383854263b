package org.jasminehub.bench.experts;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.jasminehub.core.experts.GroupLoad;

/**
 * Generates the load of a group for each epoch.
 *
 * <p>The popularity of experts starts as a Zipf distribution and drifts. Depending on the scenario, there is also a burst
 * or a slow rank.
 */
final class LoadGenerator {
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
    private final double[] rankSpeeds;
    private int epoch;

    LoadGenerator(Scenario scenario, int ranks, int experts, int layers, int epochs, long seed) {
        this.scenario = scenario;
        this.epochs = epochs;
        this.random = new SplittableRandom(seed);
        this.logWeights = new double[layers][experts];
        this.rankSpeeds = new double[ranks];
        for (double[] layer : logWeights) {
            Arrays.setAll(layer, expert -> -ZIPF_EXPONENT * Math.log(expert + 1.0));
            shuffle(layer);
        }
    }

    /** Returns the load of the next epoch; the scenario's disturbance applies in the middle half of the epochs. */
    GroupLoad next() {
        boolean disturbed = epoch >= epochs / QUARTER && epoch < epochs - epochs / QUARTER;
        epoch++;
        Arrays.fill(rankSpeeds, 1.0);
        rankSpeeds[0] = disturbed && scenario == Scenario.STRAGGLER ? STRAGGLER_SPEED : 1.0;
        double[][] millis = new double[logWeights.length][];
        for (int layer = 0; layer < millis.length; layer++) {
            drift(logWeights[layer]);
            millis[layer] = expertMillis(logWeights[layer], disturbed && scenario == Scenario.BURST);
        }
        return new GroupLoad(millis, rankSpeeds.clone());
    }

    private double[] expertMillis(double[] layerLogWeights, boolean burst) {
        double[] weights = Arrays.stream(layerLogWeights).map(Math::exp).toArray();
        if (burst) {
            weights[0] *= BURST_FACTOR;
            weights[1] *= BURST_FACTOR;
        }
        double sum = Arrays.stream(weights).sum();
        double total = STEP_LAYER_MILLIS * rankSpeeds.length;
        return Arrays.stream(weights).map(weight -> weight / sum * total).toArray();
    }

    private void drift(double[] layerLogWeights) {
        for (int expert = 0; expert < layerLogWeights.length; expert++) {
            double mean = -ZIPF_EXPONENT * Math.log(layerLogWeights.length / 2.0);
            double pull = DRIFT * DRIFT * (mean - layerLogWeights[expert]);
            layerLogWeights[expert] += pull + DRIFT * (random.nextDouble() * 2 - 1);
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
