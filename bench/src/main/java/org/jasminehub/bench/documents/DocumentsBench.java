package org.jasminehub.bench.documents;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.jasminehub.core.history.RecordSourcePolicy;

/**
 * Prints what documents cost, and how fast and at what price a change spreads in small and large fleets.
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
    private static final int FRAME_BYTES = 2 * (20 + 20 + 4);
    private static final double MICROS_PER_MILLI = 1_000;
    private static final List<Fleet> FLEETS = List.of(new Fleet(7, 3), new Fleet(100, 13), new Fleet(2_300, 13));

    private DocumentsBench() {}

    /** Measures and prints the tables. */
    public static void run(PrintStream out) {
        MeasuredSteps steps = MeasuredSteps.measure(TEAMS);
        out.println("measured with " + TEAMS + " teams of ten workspaces and five routes:");
        print(out, "bytes per publish record", steps.recordBytes());
        print(out, "microseconds of a processor per publish", steps.decideMicros());
        print(out, "bytes of memory per document in force", steps.documentBytes());
        print(out, "bytes per empty poll, both ways, without frames", steps.emptyPollBytes());
        print(out, "bytes per snapshot", steps.snapshotBytes());
        out.println("worked out from these, at " + CHANGES_PER_DAY + " changes a day:");
        FLEETS.forEach(fleet -> print(out, fleet, steps));
    }

    private static void print(PrintStream out, Fleet fleet, MeasuredSteps steps) {
        int hops = new RecordSourcePolicy(READERS_PER_DOMAIN, FAN_OUT).hops(fleet.instancesPerDomain());
        double hopMillis = POLL_INTERVAL_MILLIS + ROUND_TRIP_MILLIS + steps.decideMicros() / MICROS_PER_MILLI;
        int links = 1 + (hops == 0 ? 0 : FAN_OUT);
        double recordRate = CHANGES_PER_DAY / SECONDS_PER_DAY * steps.recordBytes();
        double snapshotRate = SNAPSHOTS_PER_DAY / SECONDS_PER_DAY * steps.snapshotBytes();
        double pollRate = (steps.emptyPollBytes() + FRAME_BYTES) * MICROS_PER_MILLI / POLL_INTERVAL_MILLIS;
        out.printf(
                Locale.ROOT,
                "%5d instances in %2d domains: %d hops, at most %.0f ms after a reader has it;"
                        + " %.0f bytes/s in the mean of a day, %.3f %% of a core, %.1f MB%n",
                fleet.instances(),
                fleet.domains(),
                hops,
                hops * hopMillis,
                links * (recordRate + snapshotRate + pollRate),
                CHANGES_PER_DAY / SECONDS_PER_DAY * steps.decideMicros() / MICROS_PER_MILLI / 10,
                TEAMS * steps.documentBytes() / (1024 * 1024));
    }

    private static void print(PrintStream out, String what, double figure) {
        out.printf(Locale.ROOT, "  %-50s %.1f%n", what, figure);
    }

    private record Fleet(int instances, int domains) {
        int instancesPerDomain() {
            return (instances + domains - 1) / domains;
        }
    }
}
