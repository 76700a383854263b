package org.jasminehub.bench.documents;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.jasminehub.core.history.RecordSourcePolicy;

/**
 * Measures the cost of documents and calculates, for fleets of several sizes, how fast a change reaches all instances
 * and how much traffic, processor time and memory it takes.
 *
 * <pre>{@code
 * DocumentsBench.run(System.out);
 * }</pre>
 */
public final class DocumentsBench {
    private static final int TEAMS = 730;
    private static final int CHANGES_PER_DAY = 13_000;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final int SNAPSHOTS_PER_DAY = 4;
    private static final int READERS_PER_DOMAIN = 2;
    private static final int FAN_OUT = 2;
    private static final double POLL_INTERVAL_MILLIS = 1_000;
    private static final double ROUND_TRIP_MILLIS = 3;
    /** IP header, TCP header and frame length, once in each direction. */
    private static final int FRAME_BYTES = 2 * (20 + 20 + 4);

    private static final double MICROS_PER_MILLI = 1_000;
    private static final List<Fleet> FLEETS = List.of(new Fleet(7, 3), new Fleet(100, 13), new Fleet(2_300, 13));

    private DocumentsBench() {}

    /** Runs the measurements and prints the tables. */
    public static void run(PrintStream out) {
        DocumentCosts costs = DocumentCosts.measure(TEAMS);
        out.println("measured with " + TEAMS + " teams of ten workspaces and five routes:");
        print(out, "bytes per publish record", costs.recordBytes());
        print(out, "microseconds of a processor per publish", costs.replayMicros());
        print(out, "bytes of memory per document in force", costs.documentBytes());
        print(out, "bytes per empty poll, both ways, without frames", costs.emptyPollBytes());
        print(out, "bytes per snapshot", costs.snapshotBytes());
        out.println("worked out from these, at " + CHANGES_PER_DAY + " changes a day:");
        FLEETS.forEach(fleet -> print(out, fleet, costs));
    }

    private static void print(PrintStream out, Fleet fleet, DocumentCosts costs) {
        int hops = new RecordSourcePolicy(READERS_PER_DOMAIN, FAN_OUT).hops(fleet.instancesPerDomain());
        double hopMillis = POLL_INTERVAL_MILLIS + ROUND_TRIP_MILLIS + costs.replayMicros() / MICROS_PER_MILLI;
        int connections = 1 + (hops == 0 ? 0 : FAN_OUT);
        double recordRate = CHANGES_PER_DAY / SECONDS_PER_DAY * costs.recordBytes();
        double snapshotRate = SNAPSHOTS_PER_DAY / SECONDS_PER_DAY * costs.snapshotBytes();
        double pollRate = (costs.emptyPollBytes() + FRAME_BYTES) * MICROS_PER_MILLI / POLL_INTERVAL_MILLIS;
        out.printf(
                Locale.ROOT,
                "%5d instances in %2d domains: %d hops, at most %.0f ms after a reader has it;"
                        + " %.0f bytes/s in the mean of a day, %.3f %% of a core, %.1f MB%n",
                fleet.instances(),
                fleet.domains(),
                hops,
                hops * hopMillis,
                connections * (recordRate + snapshotRate + pollRate),
                CHANGES_PER_DAY / SECONDS_PER_DAY * costs.replayMicros() / MICROS_PER_MILLI / 10,
                TEAMS * costs.documentBytes() / (1024 * 1024));
    }

    private static void print(PrintStream out, String label, double value) {
        out.printf(Locale.ROOT, "  %-50s %.1f%n", label, value);
    }

    private record Fleet(int instances, int domains) {
        int instancesPerDomain() {
            return (instances + domains - 1) / domains;
        }
    }
}
