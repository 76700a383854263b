package org.jasminehub.core.experts.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jasminehub.core.internal.Checks;
import org.jspecify.annotations.Nullable;

/**
 * Counts how often the requests of a group chose each expert during the last fraction of a second.
 *
 * <p>The set of experts in demand shifts abruptly every few seconds and is stable in between. A window that spans a
 * shift contains a mixture that no map suits, and a map change planned from it would block the next one until its
 * copies are complete. Therefore the window restarts at each shift, and {@link #isSettled} returns whether it is
 * suitable for planning.
 *
 * <p>Not thread-safe.
 */
public final class DemandWindow {
    /** How much longer a bucket is than the interval of reports, so that it contains one report of nearly all ranks. */
    private static final long BUCKET_MARGIN_MILLIS = 5;

    /** Enough passes to distinguish experts in high demand from the others. */
    private static final int MAX_BUCKETS = 5;

    /**
     * The number of buckets compared on each side of a shift. With only one, a single long prompt would look like a
     * shift.
     */
    private static final int MIN_BUCKETS = 2;

    /**
     * The minimum share of choices that moved to other experts at a shift. Observed shares are at most 0.12 in nine of
     * ten windows between shifts and at least 0.34 at each of five shifts.
     */
    private static final double SHIFT_DISTANCE = 0.22;

    /** The corresponding share for the newest bucket alone, in which a shift may have begun. */
    private static final double UNSETTLED_DISTANCE = 0.18;

    private record Bucket(long startMillis, double[][] choices) {}

    private final int layers;
    private final int experts;
    private final long bucketMillis;
    private final Deque<Bucket> closed = new ArrayDeque<>();
    private Bucket open;
    private long lastShiftMillis = Long.MIN_VALUE;

    /**
     * The bucket in which the last shift was detected. Some of its choices may precede the shift, so it is dropped as
     * soon as there are enough later buckets.
     */
    private @Nullable Bucket shiftBucket;

    private boolean isSettled;

    /**
     * Creates an empty window for a group with {@code experts} experts in each of {@code layers} layers.
     *
     * @param reportMillis the time between two reports of each rank
     */
    public DemandWindow(int layers, int experts, long reportMillis, long nowMillis) {
        this.bucketMillis = reportMillis + BUCKET_MARGIN_MILLIS;
        this.layers = (int) Checks.positive("layers", layers);
        this.experts = (int) Checks.positive("experts", experts);
        this.open = new Bucket(nowMillis, new double[layers][experts]);
    }

    /**
     * Adds the choices that one rank has counted since its last report.
     *
     * @param choices how often each expert was chosen, ordered by layer and expert
     */
    public void add(long nowMillis, long[] choices) {
        Checks.that(choices.length == size(), "choices", choices.length, size() + " counts");
        if (nowMillis - open.startMillis() >= bucketMillis) {
            closed.addLast(open);
            open = new Bucket(nowMillis, new double[layers][experts]);
            updateSettled(nowMillis);
        }
        int index = 0;
        for (double[] layer : open.choices()) {
            for (int expert = 0; expert < experts; expert++) {
                layer[expert] += choices[index++];
            }
        }
    }

    /** Returns the number of counts in a report, one per layer and expert. */
    public int size() {
        return layers * experts;
    }

    /** Returns the time from which on the newest choices are counted; it changes once for each round of reports. */
    public long newestRoundMillis() {
        return open.startMillis();
    }

    /** Returns whether the window is long enough for planning and no shift within it has been detected. */
    public boolean isSettled() {
        return isSettled;
    }

    /** Returns the time at which the last shift was detected, or {@link Long#MIN_VALUE} if there was none. */
    public long lastShiftMillis() {
        return lastShiftMillis;
    }

    /** Returns how often each expert was chosen in the window, {@code [layer][expert]}. */
    public double[][] choices() {
        List<Bucket> all = new ArrayList<>(closed);
        all.add(open);
        return sum(all);
    }

    private void updateSettled(long nowMillis) {
        List<Bucket> buckets = new ArrayList<>(closed);
        int split = buckets.size() - MIN_BUCKETS;
        if (split >= MIN_BUCKETS
                && distance(buckets.subList(0, split), buckets.subList(split, buckets.size())) >= SHIFT_DISTANCE) {
            lastShiftMillis = nowMillis;
            Bucket last = closed.removeLast();
            closed.clear();
            closed.addLast(last);
            shiftBucket = last;
        } else if (closed.size() > MIN_BUCKETS && closed.peekFirst() == shiftBucket) {
            closed.removeFirst();
        }
        while (closed.size() > MAX_BUCKETS) {
            closed.removeFirst();
        }
        buckets = new ArrayList<>(closed);
        int newest = buckets.size() - 1;
        boolean isNewestOutlier = newest >= MIN_BUCKETS
                && distance(buckets.subList(0, newest), buckets.subList(newest, buckets.size())) >= UNSETTLED_DISTANCE;
        isSettled = buckets.size() >= MIN_BUCKETS && !isNewestOutlier;
    }

    /** Returns the share of choices that differ between two spans, 0 to 1, averaged over all layers. */
    private double distance(List<Bucket> before, List<Bucket> after) {
        double[][] first = sum(before);
        double[][] second = sum(after);
        double total = 0;
        for (int layer = 0; layer < layers; layer++) {
            total += distance(first[layer], second[layer]);
        }
        return total / layers;
    }

    private static double distance(double[] first, double[] second) {
        double firstTotal = total(first);
        double secondTotal = total(second);
        if (firstTotal <= 0 || secondTotal <= 0) {
            return 0;
        }
        double differing = 0;
        for (int expert = 0; expert < first.length; expert++) {
            differing += Math.abs(first[expert] / firstTotal - second[expert] / secondTotal);
        }
        return differing / 2;
    }

    private static double total(double[] values) {
        double total = 0;
        for (double value : values) {
            total += value;
        }
        return total;
    }

    private double[][] sum(List<Bucket> buckets) {
        double[][] sums = new double[layers][experts];
        for (Bucket bucket : buckets) {
            for (int layer = 0; layer < layers; layer++) {
                for (int expert = 0; expert < experts; expert++) {
                    sums[layer][expert] += bucket.choices()[layer][expert];
                }
            }
        }
        return sums;
    }
}
