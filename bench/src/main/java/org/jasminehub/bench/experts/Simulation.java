package org.jasminehub.bench.experts;

import java.util.Arrays;
import org.jasminehub.core.experts.ExpertMap;
import org.jasminehub.core.experts.GroupLoad;
import org.jasminehub.core.experts.MoveBudgetPolicy;
import org.jasminehub.core.experts.StepTime;

/**
 * The result of running one group under one strategy.
 *
 * <p>The plan of an epoch uses only the loads of earlier epochs.
 *
 * @param skew the slowest rank's time relative to the mean of all ranks, averaged over the epochs
 * @param lostMillis the time that a step spends waiting for its slowest ranks, averaged over the epochs
 * @param movedGigabytes the weights loaded from the weight store
 * @param slowedSteps steps that ran while experts were loading
 * @param lateSteps steps that exceeded the time between tokens only because experts were loading
 */
record Simulation(double skew, double lostMillis, double movedGigabytes, long slowedSteps, long lateSteps) {
    static final long EPOCH_STEPS = 1000;
    /** The group time that loading one expert costs, through the longer steps while it loads. */
    static final double MOVE_MILLIS = 5;

    private static final double TOKEN_GAP_MILLIS = 30;
    private static final long EXPERT_SIZE_BYTES = 44_000_000;
    private static final double STORE_BYTES_PER_SECOND = 20e9;
    private static final double GROUP_BYTES_PER_SECOND = 4e9;
    private static final double FULL_RATE_SLOWDOWN = 0.15;
    private static final int LOADING_GROUPS = 10;
    private static final double ESTIMATE_WEIGHT = 0.5;

    static Simulation run(LoadGenerator loads, ExpertMap start, Strategy strategy, int epochs) {
        MoveBudgetPolicy budget =
                new MoveBudgetPolicy(STORE_BYTES_PER_SECOND, GROUP_BYTES_PER_SECOND, FULL_RATE_SLOWDOWN);
        double fairRate = fairRate(budget);
        ExpertMap map = start;
        GroupLoad estimate = loads.next();
        double skew = 0;
        double lostMillis = 0;
        long moves = 0;
        long slowedSteps = 0;
        long lateSteps = 0;
        for (int epoch = 1; epoch < epochs; epoch++) {
            GroupLoad load = loads.next();
            double stepMillis = StepTime.of(map, estimate).stepMillis();
            double safeRate = budget.streamSafeRate(stepMillis, TOKEN_GAP_MILLIS);
            long epochMillis = (long) (stepMillis * EPOCH_STEPS);
            ExpertMap next =
                    strategy.next(map, estimate, budget.maxMoves(fairRate, safeRate, epochMillis, EXPERT_SIZE_BYTES));
            int movedExperts = map.movesTo(next);
            // A strategy that exceeds the move budget loads at its full fair rate, even if that delays streams.
            boolean isWithinBudget =
                    movedExperts <= budget.maxMoves(fairRate, safeRate, epochMillis, EXPERT_SIZE_BYTES);
            double rate = isWithinBudget ? Math.min(fairRate, safeRate) : fairRate;
            StepTime before = StepTime.of(map, load);
            long loadSteps = movedExperts == 0 ? 0 : loadSteps(movedExperts, rate, before.stepMillis());
            double slowdown = 1 + FULL_RATE_SLOWDOWN * rate / GROUP_BYTES_PER_SECOND;
            slowedSteps += loadSteps;
            lateSteps += movedExperts > 0
                            && before.stepMillis() * slowdown > TOKEN_GAP_MILLIS
                            && before.stepMillis() <= TOKEN_GAP_MILLIS
                    ? loadSteps
                    : 0;
            moves += movedExperts;
            map = next;
            StepTime after = StepTime.of(map, load);
            skew += after.skew();
            lostMillis += after.lostMillis();
            estimate = estimate.smoothed(load, ESTIMATE_WEIGHT);
        }
        int measuredEpochs = epochs - 1;
        return new Simulation(
                skew / measuredEpochs,
                lostMillis / measuredEpochs,
                moves * EXPERT_SIZE_BYTES / 1e9,
                slowedSteps,
                lateSteps);
    }

    private static double fairRate(MoveBudgetPolicy budget) {
        double[] requestedRates = new double[LOADING_GROUPS];
        Arrays.fill(requestedRates, GROUP_BYTES_PER_SECOND);
        return budget.fairRates(requestedRates)[0];
    }

    private static long loadSteps(int moves, double rate, double stepMillis) {
        double millis = moves * (double) EXPERT_SIZE_BYTES / rate * 1000;
        return (long) Math.ceil(millis / stepMillis);
    }
}
