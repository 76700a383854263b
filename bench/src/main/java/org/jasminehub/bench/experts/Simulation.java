package org.jasminehub.bench.experts;

import java.util.Arrays;
import org.jasminehub.core.experts.ExpertMap;
import org.jasminehub.core.experts.GroupLoad;
import org.jasminehub.core.experts.MoveBudgetPolicy;
import org.jasminehub.core.experts.StepTime;

/**
 * One group under one strategy; each epoch's plan sees only the loads of earlier epochs.
 *
 * @param skew the mean over epochs of the slowest rank's time over the mean
 * @param lostMillis the mean time that a step loses to its slowest ranks
 * @param movedGigabytes what the weight store gave
 * @param slowedSteps steps that ran while experts were loading
 * @param lateSteps steps longer than the time between tokens because experts were loading
 */
record Simulation(double skew, double lostMillis, double movedGigabytes, long slowedSteps, long lateSteps) {
    static final long EPOCH_STEPS = 1000;
    /** Group time that one loaded expert takes away: its share of a slowed step's excess. */
    static final double MOVE_MILLIS = 5;

    private static final double TOKEN_GAP_MILLIS = 30;
    private static final long EXPERT_SIZE_BYTES = 44_000_000;
    private static final double STORE_BYTES_PER_SECOND = 20e9;
    private static final double GROUP_BYTES_PER_SECOND = 4e9;
    private static final double FULL_RATE_SLOWDOWN = 0.15;
    private static final int LOADING_GROUPS = 10;
    private static final double ESTIMATE_WEIGHT = 0.5;

    static Simulation run(LoadScript script, ExpertMap start, Strategy strategy, int epochs) {
        MoveBudgetPolicy budget =
                new MoveBudgetPolicy(STORE_BYTES_PER_SECOND, GROUP_BYTES_PER_SECOND, FULL_RATE_SLOWDOWN);
        double fairRate = fairRate(budget);
        ExpertMap map = start;
        GroupLoad estimate = script.next();
        double skew = 0;
        double lostMillis = 0;
        long moves = 0;
        long slowedSteps = 0;
        long lateSteps = 0;
        for (int epoch = 1; epoch < epochs; epoch++) {
            GroupLoad load = script.next();
            double stepMillis = StepTime.of(map, estimate).stepMillis();
            double safeRate = budget.streamSafeRate(stepMillis, TOKEN_GAP_MILLIS);
            long epochMillis = (long) (stepMillis * EPOCH_STEPS);
            ExpertMap next =
                    strategy.next(map, estimate, budget.maxMoves(fairRate, safeRate, epochMillis, EXPERT_SIZE_BYTES));
            int moved = map.movesTo(next);
            // A strategy that keeps no budget loads at its full fair rate whatever the streams need.
            boolean planned = moved <= budget.maxMoves(fairRate, safeRate, epochMillis, EXPERT_SIZE_BYTES);
            double rate = planned ? Math.min(fairRate, safeRate) : fairRate;
            StepTime present = StepTime.of(map, load);
            long loadSteps = moved == 0 ? 0 : loadSteps(moved, rate, present.stepMillis());
            double slowdown = 1 + FULL_RATE_SLOWDOWN * rate / GROUP_BYTES_PER_SECOND;
            slowedSteps += loadSteps;
            lateSteps += moved > 0
                            && present.stepMillis() * slowdown > TOKEN_GAP_MILLIS
                            && present.stepMillis() <= TOKEN_GAP_MILLIS
                    ? loadSteps
                    : 0;
            moves += moved;
            map = next;
            StepTime after = StepTime.of(map, load);
            skew += after.skew();
            lostMillis += after.lostMillis();
            estimate = estimate.smoothed(load, ESTIMATE_WEIGHT);
        }
        int counted = epochs - 1;
        return new Simulation(
                skew / counted, lostMillis / counted, moves * EXPERT_SIZE_BYTES / 1e9, slowedSteps, lateSteps);
    }

    private static double fairRate(MoveBudgetPolicy budget) {
        double[] wanted = new double[LOADING_GROUPS];
        Arrays.fill(wanted, GROUP_BYTES_PER_SECOND);
        return budget.fairRates(wanted)[0];
    }

    private static long loadSteps(int moves, double rate, double stepMillis) {
        double millis = moves * (double) EXPERT_SIZE_BYTES / rate * 1000;
        return (long) Math.ceil(millis / stepMillis);
    }
}
