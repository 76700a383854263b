package org.jasminehub.bench.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What one run measured, over the calls that arrived after the warm-up.
 *
 * @param firstTokenMillis times to the first token of urgent calls that were answered
 * @param gapMicros times between tokens
 * @param offered calls offered
 * @param inTime calls answered in their deadline
 * @param urgentOffered urgent calls offered
 * @param urgentPrompt urgent calls whose first token came within the target
 * @param capacityShare the work answered in time, relative to the endpoints' capacity
 * @param worstShare the lowest share that a workspace got of what it was entitled to
 * @param hitShare the share of tokens of shared beginnings that were found in a cache
 * @param retries retries for each call
 */
record Measurement(
        Histogram firstTokenMillis,
        Histogram gapMicros,
        long offered,
        long inTime,
        long urgentOffered,
        long urgentPrompt,
        double capacityShare,
        double worstShare,
        double hitShare,
        double retries) {
    static final double FIRST_TOKEN_TARGET_MILLIS = 570;

    private static final double MILLIS_PER_SECOND = 1000;

    static Measurement of(Scenario scenario, List<Call> all, Histogram gapMicros) {
        List<Call> calls = all.stream()
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
                worstShare(calls),
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

    /** Divides the work done by max-min fairness and compares each workspace's part with its entitlement. */
    private static double worstShare(List<Call> calls) {
        Map<String, Double> offered = new HashMap<>();
        Map<String, Double> done = new HashMap<>();
        for (Call call : calls) {
            offered.merge(call.workspace.value(), work(call), Double::sum);
            done.merge(call.workspace.value(), call.isInTime() ? work(call) : 0, Double::sum);
        }
        double left = done.values().stream().mapToDouble(Double::doubleValue).sum();
        List<Map.Entry<String, Double>> byDemand =
                offered.entrySet().stream().sorted(Map.Entry.comparingByValue()).toList();
        double worst = 1;
        for (int i = 0; i < byDemand.size(); i++) {
            double entitled = Math.min(byDemand.get(i).getValue(), left / (byDemand.size() - i));
            left -= entitled;
            worst = Math.min(worst, done.getOrDefault(byDemand.get(i).getKey(), 0.0) / entitled);
        }
        return worst;
    }
}
