package org.jasminehub.bench.capacity;

import java.io.PrintStream;
import java.util.Locale;

/**
 * Prints the slopes from which docs/CAPACITY.md is worked out.
 *
 * <pre>{@code
 * CapacityBench.run(System.out);
 * }</pre>
 *
 * <p>Runs in one thread and takes about half a minute.
 */
public final class CapacityBench {
    private CapacityBench() {}

    /** Runs the bench alone, without the other benches. */
    public static void main(String[] args) {
        run(System.out);
    }

    /** Measures and prints one line for each slope: what, figure, unit. */
    public static void run(PrintStream out) {
        for (Slope slope : MemorySlopes.measure()) {
            print(out, slope);
        }
        for (Slope slope : CpuSlopes.measure()) {
            print(out, slope);
        }
        for (Slope slope : MessageSizes.measure()) {
            print(out, slope);
        }
        for (Slope slope : SubsetBalance.measure()) {
            print(out, slope);
        }
    }

    private static void print(PrintStream out, Slope slope) {
        out.printf(Locale.ROOT, "%-58s %10.2f %s%n", slope.what(), slope.figure(), slope.unit());
    }
}
