package org.jasminehub.bench.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The results of one run, for the calls that arrived after the warm-up.
 *
 * @param firstTokenMillis the time to the first token of each urgent call that received one
 * @param gapMicros the times between tokens
 * @param offered the number of calls
 * @param inTime the number of calls completed within their deadline
 * @param urgentOffered the number of urgent calls
 * @param urgentWithinTarget the number of urgent calls whose first token arrived within the target
 * @param goodputRatio the work completed within deadlines, relative to the endpoints' capacity
 * @param minFairShare the completed work of the worst-served workspace, relative to its max-min fair share
 * @param prefixHitRatio the share of prefix tokens that were found in a prefix cache
 * @param retriesPerCall the mean number of retries of a call
 */
record Measurement(
        Histogram firstTokenMillis,
        Histogram gapMicros,
        long offered,
        long inTime,
        long urgentOffered,
        long urgentWithinTarget,
        double goodputRatio,
        double minFairShare,
        double prefixHitRatio,
        double retriesPerCall) {
    static final double FIRST_TOKEN_TARGET_MILLIS = 570;

    private static final double MILLIS_PER_SECOND = 1000;

    static Measurement of(Scenario scenario, List<Call> allCalls, Histogram gapMicros) {
        List<Call> calls = allCalls.stream()
                .filter(call -> call.arrivedMillis >= Scenario.WARM_UP_MILLIS)
                .toList();
        Histogram firstTokenMillis = new Histogram(3);
        List<Call> urgent = calls.stream().filter(Call::isUrgent).toList();
        urgent.stream()
                .filter(call -> call.firstTokenMillis >= 0)
                .forEach(call -> firstTokenMillis.recordValue((long) delayMillis(scenario, call)));
        List<Call> answered =
                calls.stream().filter(call -> call.firstTokenMillis >= 0).toList();
        long inTime = calls.stream().filter(Call::isInTime).count();
        double seconds = (Scenario.LOAD_MILLIS - Scenario.WARM_UP_MILLIS) / MILLIS_PER_SECOND;
        return new Measurement(
                firstTokenMillis,
                gapMicros,
                calls.size(),
                inTime,
                urgent.size(),
                urgent.stream()
                        .filter(call -> call.firstTokenMillis >= 0)
                        .filter(call -> delayMillis(scenario, call) <= FIRST_TOKEN_TARGET_MILLIS)
                        .count(),
                inTimeWork(calls) / (averageWork(calls) * scenario.deployment().capacityPerSecond() * seconds),
                minFairShare(calls),
                (double) answered.stream().mapToLong(call -> call.hitTokens).sum()
                        / Math.max(
                                1,
                                answered.stream()
                                        .mapToLong(call -> call.shape.prefixTokens())
                                        .sum()),
                calls.stream().mapToInt(call -> Math.max(0, call.attempts - 1)).sum() / (double) calls.size());
    }

    private static double delayMillis(Scenario scenario, Call call) {
        return call.firstTokenMillis
                - call.arrivedMillis
                + scenario.deployment().callerMillis();
    }

    private static double work(Call call) {
        double tokenMillis =
                FakeEngine.BASE_STEP_MILLIS / FakeEngine.CAPACITY_REQUESTS + FakeEngine.STEP_MILLIS_PER_REQUEST;
        return call.answerTokens * tokenMillis + call.shape.promptTokens() * FakeEngine.PREFILL_MILLIS_PER_TOKEN;
    }

    private static double inTimeWork(List<Call> calls) {
        return calls.stream()
                .filter(Call::isInTime)
                .mapToDouble(Measurement::work)
                .sum();
    }

    private static double averageWork(List<Call> calls) {
        return calls.stream().mapToDouble(Measurement::work).average().orElse(1);
    }

    /** Returns the lowest ratio of a workspace's completed work to its max-min fair share of all completed work. */
    private static double minFairShare(List<Call> calls) {
        Map<String, Double> offered = new HashMap<>();
        Map<String, Double> completed = new HashMap<>();
        for (Call call : calls) {
            offered.merge(call.workspace.value(), work(call), Double::sum);
            completed.merge(call.workspace.value(), call.isInTime() ? work(call) : 0, Double::sum);
        }
        double remainingWork =
                completed.values().stream().mapToDouble(Double::doubleValue).sum();
        List<Map.Entry<String, Double>> byDemand =
                offered.entrySet().stream().sorted(Map.Entry.comparingByValue()).toList();
        double minShare = 1;
        for (int i = 0; i < byDemand.size(); i++) {
            double entitled = Math.min(byDemand.get(i).getValue(), remainingWork / (byDemand.size() - i));
            remainingWork -= entitled;
            minShare = Math.min(minShare, completed.getOrDefault(byDemand.get(i).getKey(), 0.0) / entitled);
        }
        return minShare;
    }
}
