package org.jasminehub.bench.operation;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.operation.AgentIncarnation;
import org.jasminehub.core.operation.AtMostOnceGuard;
import org.jasminehub.core.operation.GuardDecision;
import org.jasminehub.core.operation.HomeTable;
import org.jasminehub.core.operation.LedgerLimits;
import org.jasminehub.core.operation.OperationId;
import org.jasminehub.core.operation.OperationResult;
import org.jasminehub.core.operation.OperationTimes;
import org.jasminehub.core.time.ManualClock;

/**
 * Compares two ways to run operations at most once: a claim record in the log for each operation, and a home agent for
 * each key. Also measures the time and memory that a home agent needs per operation.
 *
 * <pre>{@code
 * OperationBench.run(System.out, new String[0]);
 * }</pre>
 */
public final class OperationBench {
    private static final int ENTRY_INSTANCES = 2_300;
    private static final int REQUESTS_PER_SECOND = 19_000;
    private static final int FAILURE_DOMAINS = 13;
    private static final int STARTS_PER_DAY = 47 + 2_200;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final int CLAIM_BYTES = 96;
    private static final int SIMULATED_SECONDS = 20;
    private static final double CONFIRMATION_INTERVAL_SECONDS = 60;
    private static final int OPERATIONS = 100_000;
    private static final int RESULT_BYTES = 300;
    private static final double BYTES_PER_KILOBYTE = 1024;
    private static final double NANOS_PER_MICRO = 1_000;

    private OperationBench() {}

    /** Runs the measurements and prints the results to {@code out}; {@code args} is ignored. */
    public static void run(PrintStream out, String[] args) {
        out.println("Target: well under 300 appends/s for everyone, 4 KB/s of control per node.");
        out.println("| way | share of operations | wait for a batch | appends/s | read by each instance |");
        out.println("|---|---|---|---|---|");
        for (double share : new double[] {0.01, 0.05}) {
            for (int waitMillis : new int[] {20, 100, 1000}) {
                printClaims(out, share, waitMillis);
            }
        }
        printHomes(out);
        measureHome(out);
    }

    private static void printClaims(PrintStream out, double share, int waitMillis) {
        double operationsPerSecond = REQUESTS_PER_SECOND * share / ENTRY_INSTANCES;
        Random random = new Random(7);
        long batches = 0;
        for (int instance = 0; instance < ENTRY_INSTANCES; instance++) {
            batches += countBatches(random, operationsPerSecond, waitMillis);
        }
        double readKilobytes = REQUESTS_PER_SECOND * share * CLAIM_BYTES / BYTES_PER_KILOBYTE;
        out.printf(
                "| claim | %.0f %% | %d ms | %.0f | %.1f KB/s |%n",
                share * 100, waitMillis, (double) batches / SIMULATED_SECONDS, readKilobytes);
    }

    private static long countBatches(Random random, double operationsPerSecond, int waitMillis) {
        long batches = 0;
        double batchEndSeconds = 0;
        double nowSeconds = drawIntervalSeconds(random, operationsPerSecond);
        while (nowSeconds < SIMULATED_SECONDS) {
            if (nowSeconds >= batchEndSeconds) {
                batches++;
                batchEndSeconds = nowSeconds + waitMillis / 1000.0;
            }
            nowSeconds += drawIntervalSeconds(random, operationsPerSecond);
        }
        return batches;
    }

    private static double drawIntervalSeconds(Random random, double operationsPerSecond) {
        return -Math.log(1 - random.nextDouble()) / operationsPerSecond;
    }

    private static void printHomes(PrintStream out) {
        double confirmations = FAILURE_DOMAINS / CONFIRMATION_INTERVAL_SECONDS;
        double changes = 2 * STARTS_PER_DAY / SECONDS_PER_DAY;
        double readKilobytes = (confirmations + changes) * CLAIM_BYTES / BYTES_PER_KILOBYTE;
        out.printf("| home | any | none | %.2f | %.2f KB/s |%n", confirmations + changes, readKilobytes);
    }

    private static void measureHome(PrintStream out) {
        ManualClock clock = new ManualClock(0);
        AgentIncarnation self = new AgentIncarnation(new InstanceId("bookings-1"), 1);
        OperationTimes operationTimes = OperationTimes.of(600_000, 300_000, 60_000, 5_000);
        LedgerLimits limits = new LedgerLimits(OPERATIONS, 1, RESULT_BYTES, OPERATIONS * (long) RESULT_BYTES, 1);
        AtMostOnceGuard guard = new AtMostOnceGuard(self, "bookings", operationTimes, limits, clock, event -> {});
        guard.learn(new HomeTable("bookings", 1, List.of(self)));
        guard.confirm(1, 0);
        List<OperationId> ids = new ArrayList<>();
        for (int i = 0; i < OPERATIONS; i++) {
            ids.add(new OperationId(new WorkspaceId("cooperative"), "bookings", "key-of-some-length-" + i));
        }
        long usedBefore = usedBytes();
        long startNanos = System.nanoTime();
        ids.forEach(id -> runOnce(guard, id));
        double microsEach = (System.nanoTime() - startNanos) / NANOS_PER_MICRO / OPERATIONS;
        double bytesEach = (double) (usedBytes() - usedBefore) / OPERATIONS;
        out.printf(
                "A home: %.2f us for ticket, start and finish; %.0f B remembered with a result of %d B.%n",
                microsEach, bytesEach, RESULT_BYTES);
        // Uses the guard after the measurement, so that it stays reachable until its memory has been measured.
        out.printf("Old homes to ask: %d%n", guard.missingHandovers().size());
    }

    private static void runOnce(AtMostOnceGuard guard, OperationId id) {
        GuardDecision decision = guard.requestTicket(id, "digest");
        if (decision instanceof GuardDecision.TicketGranted granted
                && guard.start(granted.ticket(), "digest") instanceof GuardDecision.RunNow) {
            guard.finish(id, new OperationResult(201, "application/json", new byte[RESULT_BYTES]));
        }
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        System.gc();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Runs this benchmark as a program of its own. */
    public static void main(String[] args) {
        run(System.out, args);
    }
}
