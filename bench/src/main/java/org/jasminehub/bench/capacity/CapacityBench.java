package org.jasminehub.bench.capacity;

import java.io.PrintStream;
import java.util.Locale;

/**
 * Measures and prints the cost of each unit of state and work, from which docs/CAPACITY.md is calculated.
 *
 * <pre>{@code
 * CapacityBench.run(System.out);
 * }</pre>
 *
 * <p>Runs in one thread and takes about half a minute.
 */
public final class CapacityBench {
    private CapacityBench() {}

    /** Runs this benchmark as a program of its own. */
    public static void main(String[] args) {
        run(System.out);
    }

    /** Runs all measurements and prints one line for each result: label, value and unit. */
    public static void run(PrintStream out) {
        for (BenchResult result : HeapCosts.measure()) {
            print(out, result);
        }
        for (BenchResult result : CpuCosts.measure()) {
            print(out, result);
        }
        for (BenchResult result : MessageSizes.measure()) {
            print(out, result);
        }
        for (BenchResult result : SubsetBalance.measure()) {
            print(out, result);
        }
    }

    private static void print(PrintStream out, BenchResult result) {
        out.printf(Locale.ROOT, "%-58s %10.2f %s%n", result.label(), result.value(), result.unit());
    }
}
