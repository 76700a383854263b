package org.jasminehub.bench.experts;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.Locale;
import org.jasminehub.core.document.ExpertRule;
import org.jasminehub.core.experts.ExpertMap;
import org.jasminehub.core.experts.FullRepack;
import org.jasminehub.core.experts.GroupLoad;
import org.jasminehub.core.experts.MapPlanner;
import org.jasminehub.core.experts.PlanLimits;

/**
 * Measures skew, bytes moved and delayed steps with and without moving experts, and the planning time.
 *
 * <pre>{@code
 * ExpertsBench.run(System.out);
 * }</pre>
 */
public final class ExpertsBench {
    private static final int EXPERTS = 64;
    private static final int LAYERS = 60;
    private static final int EPOCHS = 40;
    private static final long SEED = 7;
    private static final double TARGET_PLAN_MILLIS = 100;
    private static final ExpertRule SKEW_FIRST = new ExpertRule(4, 1);
    private static final ExpertRule MOVES_FIRST = new ExpertRule(1, 4);

    private ExpertsBench() {}

    /** Runs all measurements and prints the tables; takes about a minute on one core. */
    public static void run(PrintStream out) {
        printPlanningTimes(out);
        out.printf(
                Locale.ROOT,
                "%n%-10s %5s %5s %-12s %8s %8s %9s %9s %8s %11s%n",
                "scenario",
                "ranks",
                "slots",
                "strategy",
                "skew",
                "lost ms",
                "moved GB",
                "slow steps",
                "late",
                "gain%/GB");
        for (int ranks : new int[] {8, 64}) {
            int base = EXPERTS / ranks;
            for (Scenario scenario : Scenario.values()) {
                compare(out, scenario, ranks, base + 1);
            }
            compare(out, Scenario.STRAGGLER, ranks, base);
            compare(out, Scenario.DRIFT, ranks, base);
        }
    }

    private static void compare(PrintStream out, Scenario scenario, int ranks, int slots) {
        Strategy none = (map, estimate, maxMoves) -> map;
        Strategy repack = (map, estimate, maxMoves) -> FullRepack.pack(map, estimate);
        double baselineLostMillis = report(out, scenario, ranks, slots, "none", none, 0);
        report(out, scenario, ranks, slots, "full re-pack", repack, baselineLostMillis);
        report(out, scenario, ranks, slots, "skew first", planner(SKEW_FIRST), baselineLostMillis);
        report(out, scenario, ranks, slots, "moves first", planner(MOVES_FIRST), baselineLostMillis);
    }

    private static Strategy planner(ExpertRule rule) {
        return (map, estimate, maxMoves) ->
                MapPlanner.plan(map, estimate, rule, limits(maxMoves)).map();
    }

    private static PlanLimits limits(int maxMoves) {
        return new PlanLimits(Simulation.EPOCH_STEPS, Simulation.MOVE_MILLIS, 1.2, maxMoves);
    }

    private static double report(
            PrintStream out,
            Scenario scenario,
            int ranks,
            int slots,
            String name,
            Strategy strategy,
            double baselineLostMillis) {
        LoadGenerator loads = new LoadGenerator(scenario, ranks, EXPERTS, LAYERS, EPOCHS, SEED);
        Simulation result = Simulation.run(loads, ExpertMap.striped(ranks, slots, EXPERTS, LAYERS), strategy, EPOCHS);
        double gainPercent =
                baselineLostMillis == 0 ? 0 : 100 * (baselineLostMillis - result.lostMillis()) / baselineLostMillis;
        out.printf(
                Locale.ROOT,
                "%-10s %5d %5d %-12s %8.3f %8.3f %9.1f %9d %8d %11s%n",
                scenario,
                ranks,
                slots,
                name,
                result.skew(),
                result.lostMillis(),
                result.movedGigabytes(),
                result.slowedSteps(),
                result.lateSteps(),
                result.movedGigabytes() == 0
                        ? "-"
                        : String.format(Locale.ROOT, "%.3f", gainPercent / result.movedGigabytes()));
        return result.lostMillis();
    }

    private static void printPlanningTimes(PrintStream out) {
        out.printf(
                Locale.ROOT,
                "target: a plan for 64 ranks, 64 experts, 60 layers in under %.0f ms%n",
                TARGET_PLAN_MILLIS);
        out.printf(
                Locale.ROOT,
                "%5s %7s %6s %10s %10s %6s%n",
                "ranks",
                "experts",
                "layers",
                "median ms",
                "worst ms",
                "moves");
        int[][] sizes = {{8, 64, 15}, {8, 64, 60}, {16, 64, 60}, {32, 64, 60}, {64, 64, 15}, {64, 64, 60}, {64, 128, 60}
        };
        for (int[] size : sizes) {
            printPlanningTime(out, size[0], size[1], size[2]);
        }
    }

    private static void printPlanningTime(PrintStream out, int ranks, int experts, int layers) {
        int warmUps = 10;
        int runs = 21;
        double[] millis = new double[runs];
        int moves = 0;
        for (int run = -warmUps; run < runs; run++) {
            LoadGenerator loads = new LoadGenerator(Scenario.BURST, ranks, experts, layers, EPOCHS, SEED + run);
            GroupLoad load = loads.next();
            ExpertMap map = ExpertMap.striped(ranks, experts / ranks + 1, experts, layers);
            long startNanos = System.nanoTime();
            moves = MapPlanner.plan(map, load, SKEW_FIRST, limits(Integer.MAX_VALUE))
                    .moves();
            if (run >= 0) {
                millis[run] = (System.nanoTime() - startNanos) / 1e6;
            }
        }
        Arrays.sort(millis);
        out.printf(
                Locale.ROOT,
                "%5d %7d %6d %10.1f %10.1f %6d%n",
                ranks,
                experts,
                layers,
                millis[runs / 2],
                millis[runs - 1],
                moves);
    }
}
