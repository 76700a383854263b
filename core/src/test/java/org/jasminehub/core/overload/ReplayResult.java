package org.jasminehub.core.overload;

import java.util.Map;
import java.util.TreeMap;

/** What callers got in a replay, for each first attempt. */
final class ReplayResult {
    /** The callers of one kind. */
    static final class Tally {
        int callers;
        int inTime;
        int late;
        int refusedTwice;

        double inTimeShare() {
            return (double) inTime / Math.max(1, callers);
        }

        double servedShare() {
            return (double) (inTime + late) / Math.max(1, callers);
        }

        @Override
        public String toString() {
            return String.format(
                    "callers %5d  in time %5.1f %%  late %5.1f %%  given up %5.1f %%",
                    callers,
                    100 * inTimeShare(),
                    100.0 * late / Math.max(1, callers),
                    100.0 * refusedTwice / Math.max(1, callers));
        }
    }

    final Map<String, Tally> tallies = new TreeMap<>();
    int refusals;
    int refusedByEndpoints;

    /** Slot time that stayed empty although calls waited, and all slot time, in slots times milliseconds. */
    double emptySlotMillis;

    double slotMillis;

    Tally of(String kind) {
        return tallies.computeIfAbsent(kind, name -> new Tally());
    }

    Tally priority(int priority) {
        return of("priority " + priority);
    }

    double unusedShare() {
        return emptySlotMillis / Math.max(1, slotMillis);
    }

    /** Values of deployment T. */
    double value() {
        return 3.1 * priority(0).inTime
                + 0.3 * priority(0).late
                + 1.6 * priority(1).inTime
                + 0.41 * priority(1).late
                + 0.8 * priority(2).inTime
                + 0.3 * priority(2).late;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(String.format(
                "  value %.0f, refusals %d, refused by endpoints %d, empty slot time %.2f %%%n",
                value(), refusals, refusedByEndpoints, 100 * unusedShare()));
        tallies.forEach((kind, tally) -> text.append(String.format("    %-16s %s%n", kind, tally)));
        return text.toString();
    }
}
