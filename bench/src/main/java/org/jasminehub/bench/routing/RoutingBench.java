package org.jasminehub.bench.routing;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.jasminehub.core.routing.EndpointPolicy;
import org.jasminehub.core.routing.FirstTokenEstimate;
import org.jasminehub.core.routing.FirstTokenPolicy;
import org.jasminehub.core.routing.LeastOutstandingPolicy;
import org.jasminehub.core.routing.NetworkDistance;
import org.jasminehub.core.routing.PowerOfTwoPolicy;
import org.jasminehub.core.routing.RoundRobinPolicy;

/**
 * Compares the endpoint policies with simple baselines, and admission control with an unbounded queue.
 *
 * <p>Runs use fixed seeds and a manual clock, so that the results are reproducible.
 *
 * <pre>{@code
 * RoutingBench.run(System.out);
 * }</pre>
 */
public final class RoutingBench {
    private static final long[] SEEDS = {1, 2};
    private static final double[] LAGS_MILLIS = {100, 1000, 5000};
    private static final double STRAGGLER_FACTOR = 2.5;
    private static final double REPORT_HALF_LIFE_MILLIS = 2000;
    private static final int FULL_PERCENT = 100;
    private static final double MICROS_PER_MILLI = 1000;

    private RoutingBench() {}

    /** Runs the simulations and prints the targets and the tables; {@code arguments} is ignored. */
    public static void run(PrintStream out, String... arguments) {
        out.println("Targets: first token of urgent calls within 570 ms and 30 ms between tokens for 95 in 100;");
        out.println("at 2x and 4x the capacity, work in time at least 90 % of the capacity and every workspace at");
        out.println(
                "least 90 % of its max-min fair part. Capacity is counted without prefix hits. Mean of seeds 1 and 2.");
        for (Deployment deployment : List.of(Deployment.campaigns(), Deployment.pastures())) {
            for (double lagMillis : LAGS_MILLIS) {
                printTable(out, new Scenario(deployment, 0.7, lagMillis, STRAGGLER_FACTOR), true);
            }
            printTable(out, new Scenario(deployment, 0.9, 1000, 1), true);
            for (double loadFactor : new double[] {2, 4}) {
                printTable(out, new Scenario(deployment, loadFactor, 1000, STRAGGLER_FACTOR), true);
            }
            printTable(out, new Scenario(deployment, 2, 1000, STRAGGLER_FACTOR), false);
        }
    }

    private static Map<String, Function<RandomGenerator, EndpointPolicy>> policies() {
        Map<String, Function<RandomGenerator, EndpointPolicy>> policies = new LinkedHashMap<>();
        policies.put("round-robin", random -> new RoundRobinPolicy());
        policies.put("least-outstanding", random -> new LeastOutstandingPolicy());
        policies.put("power-of-two", PowerOfTwoPolicy::new);
        policies.put("first-token of 2", random -> firstToken(2, random));
        policies.put("first-token of all", random -> firstToken(Deployment.ENDPOINTS, random));
        return policies;
    }

    private static EndpointPolicy firstToken(int sampleSize, RandomGenerator random) {
        NetworkDistance distance = NetworkDistance.uniform(Deployment.CROSS_DOMAIN_DELAY_MILLIS);
        return new FirstTokenPolicy(
                new FirstTokenEstimate(distance, REPORT_HALF_LIFE_MILLIS, Deployment.ENTRIES), sampleSize, random);
    }

    private static void printTable(PrintStream out, Scenario scenario, boolean hasAdmissionControl) {
        out.println();
        out.println("## " + scenario + (hasAdmissionControl ? "" : ", unbounded queue without admission"));
        out.printf(
                "%-20s %7s %7s %7s %8s %8s %9s %9s %8s %8s %8s%n",
                "policy",
                "p50 ms",
                "p95 ms",
                "p99 ms",
                "gap p95",
                "<=570ms",
                "in time",
                "capacity",
                "worst",
                "hits",
                "retries");
        List<String> rows = policies().entrySet().parallelStream()
                .map(entry -> measureRow(entry.getKey(), scenario, entry.getValue(), hasAdmissionControl))
                .toList();
        rows.forEach(out::println);
    }

    private static String measureRow(
            String name,
            Scenario scenario,
            Function<RandomGenerator, EndpointPolicy> policy,
            boolean hasAdmissionControl) {
        List<Measurement> runs = Arrays.stream(SEEDS)
                .parallel()
                .mapToObj(seed -> new Simulation(scenario, policy, hasAdmissionControl, seed).run())
                .toList();
        return String.format(
                "%-20s %7.0f %7.0f %7.0f %8.1f %7.1f%% %8.1f%% %8.1f%% %7.1f%% %7.1f%% %8.3f",
                name,
                mean(runs, run -> (double) run.firstTokenMillis().getValueAtPercentile(50)),
                mean(runs, run -> (double) run.firstTokenMillis().getValueAtPercentile(95)),
                mean(runs, run -> (double) run.firstTokenMillis().getValueAtPercentile(99)),
                mean(runs, run -> run.gapMicros().getValueAtPercentile(95) / MICROS_PER_MILLI),
                mean(runs, run -> (double) FULL_PERCENT * run.urgentWithinTarget() / run.urgentOffered()),
                mean(runs, run -> (double) FULL_PERCENT * run.inTime() / run.offered()),
                mean(runs, run -> FULL_PERCENT * run.goodputRatio()),
                mean(runs, run -> FULL_PERCENT * run.minFairShare()),
                mean(runs, run -> FULL_PERCENT * run.prefixHitRatio()),
                mean(runs, Measurement::retriesPerCall));
    }

    private static double mean(List<Measurement> runs, Function<Measurement, Double> metric) {
        return runs.stream().mapToDouble(metric::apply).average().orElse(0);
    }
}
