package org.jasminehub.core.experts.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jasminehub.core.internal.Checks;
import org.jspecify.annotations.Nullable;

/**
 * What a group's requests choose at present, from the choices of the last fraction of a second.
 *
 * <p>Load pattern: which experts are in demand changes at once, every few seconds, and stays the same in between. A
 * window that spans such a shift shows a mixture that no map suits, and a change of map that was planned from it blocks
 * the next one for as long as its copies take. The window therefore begins anew at a shift, and {@link #isSettled} tells
 * when it can be planned from.
 *
 * <p>Not safe for use by several threads.
 */
public final class DemandWindow {
    /** Each rank's counts are read once in this time, and a pass of a loaded group takes about as long. */
    private static final long BUCKET_MILLIS = 100;

    /** Enough passes to tell hot experts from cold ones. */
    private static final int MAX_BUCKETS = 5;

    /** Buckets on each side of a shift; with one alone a single long prompt would look like a shift. */
    private static final int MIN_BUCKETS = 2;

    /**
     * The part of all choices that must have moved to other experts for a shift. On a bench day (e0f8fc1b) it was 0.12
     * or less in nine of ten windows between shifts, and 0.34 or more at each of five shifts.
     */
    private static final double SHIFT_DISTANCE = 0.22;

    /** The same for the newest bucket alone, which may hold a shift that began in it. */
    private static final double UNSETTLED_DISTANCE = 0.18;

    private record Bucket(long startMillis, double[][] choices) {}

    private final int layers;
    private final int experts;
    private final Deque<Bucket> closed = new ArrayDeque<>();
    private Bucket open;
    private long shiftedMillis = Long.MIN_VALUE;

    /** The bucket in which a shift was noticed: part of its choices may be older, so it goes as soon as others suffice. */
    private @Nullable Bucket mayHoldBoth;

    private boolean isSettled;

    /** Creates a window without choices, for a group that places {@code experts} in each of {@code layers}. */
    public DemandWindow(int layers, int experts, long nowMillis) {
        this.layers = (int) Checks.positive("layers", layers);
        this.experts = (int) Checks.positive("experts", experts);
        this.open = new Bucket(nowMillis, new double[layers][experts]);
    }

    /**
     * Adds what one rank's requests chose since its last report.
     *
     * @param choices how often each expert was chosen, layer by layer
     */
    public void add(long nowMillis, long[] choices) {
        Checks.that(choices.length == size(), "choices", choices.length, size() + " counts");
        if (nowMillis - open.startMillis() >= BUCKET_MILLIS) {
            closed.addLast(open);
            open = new Bucket(nowMillis, new double[layers][experts]);
            judge(nowMillis);
        }
        for (int index = 0; index < choices.length; index++) {
            open.choices()[index / experts][index % experts] += choices[index];
        }
    }

    /** Returns how many experts are counted, over all layers. */
    public int size() {
        return layers * experts;
    }

    /** Returns whether the window spans no shift, as far as can be told, and is long enough to plan from. */
    public boolean isSettled() {
        return isSettled;
    }

    /** Returns when the last shift was noticed, {@link Long#MIN_VALUE} for never. */
    public long shiftedMillis() {
        return shiftedMillis;
    }

    /** Returns how often each expert was chosen in the window, {@code [layer][expert]}. */
    public double[][] choices() {
        List<Bucket> all = new ArrayList<>(closed);
        all.add(open);
        return sum(all);
    }

    private void judge(long nowMillis) {
        List<Bucket> buckets = new ArrayList<>(closed);
        int recent = buckets.size() - MIN_BUCKETS;
        if (recent >= MIN_BUCKETS
                && distance(buckets.subList(0, recent), buckets.subList(recent, buckets.size())) >= SHIFT_DISTANCE) {
            shiftedMillis = nowMillis;
            Bucket last = closed.removeLast();
            closed.clear();
            closed.addLast(last);
            mayHoldBoth = last;
        } else if (closed.size() > MIN_BUCKETS && closed.peekFirst() == mayHoldBoth) {
            closed.removeFirst();
        }
        while (closed.size() > MAX_BUCKETS) {
            closed.removeFirst();
        }
        buckets = new ArrayList<>(closed);
        int older = buckets.size() - 1;
        boolean isNewestOdd = older >= MIN_BUCKETS
                && distance(buckets.subList(0, older), buckets.subList(older, buckets.size())) >= UNSETTLED_DISTANCE;
        isSettled = buckets.size() >= MIN_BUCKETS && !isNewestOdd;
    }

    /** Returns the part of choices that differs between two spans, 0 to 1, averaged over layers. */
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
