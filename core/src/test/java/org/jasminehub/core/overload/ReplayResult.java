package org.jasminehub.core.overload;

import java.util.Arrays;
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

    /** First attempts, and calls that got a slot, by priority, while the load differs from the usual one. */
    final int[] attemptsInBurst = new int[3];

    final int[] startsInBurst = new int[3];

    /** Returns how often calls got a slot in the burst compared with how often they asked for one. */
    double servedInBurst(int priority) {
        return (double) startsInBurst[priority] / attemptsInBurst[priority];
    }

    double servedInBurst() {
        return (double) Arrays.stream(startsInBurst).sum()
                / Arrays.stream(attemptsInBurst).sum();
    }

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
        text.append(String.format(
                "    served in the burst: all %.1f %%, by priority %.1f, %.1f, %.1f %%%n",
                100 * servedInBurst(), 100 * servedInBurst(0), 100 * servedInBurst(1), 100 * servedInBurst(2)));
        return text.toString();
    }
}
