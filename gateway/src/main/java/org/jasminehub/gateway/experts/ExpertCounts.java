package org.jasminehub.gateway.experts;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** How often one rank's requests chose each expert of late. Not safe for use by several threads. */
final class ExpertCounts {
    /**
     * What is chosen changes every few seconds; half a second is a few passes, enough choices to tell hot experts from
     * cold ones.
     */
    private static final long WINDOW_MILLIS = 450;

    private record Sample(long takenMillis, List<Long> counts) {}

    private final Deque<Sample> samples = new ArrayDeque<>();

    void add(long nowMillis, List<Long> counts) {
        Sample last = samples.peekLast();
        if (last != null && (last.counts().size() != counts.size() || isRestarted(last.counts(), counts))) {
            samples.clear();
        }
        samples.addLast(new Sample(nowMillis, counts));
        // One sample older than the window stays, to count from.
        while (samples.size() > 2 && secondTaken() <= nowMillis - WINDOW_MILLIS) {
            samples.removeFirst();
        }
    }

    void clear() {
        samples.clear();
    }

    /** Adds the counts of the window to {@code sums}, layer by layer; returns whether there are any. */
    boolean addTo(double[][] sums) {
        if (samples.size() < 2) {
            return false;
        }
        List<Long> from = samples.getFirst().counts();
        List<Long> to = samples.getLast().counts();
        int index = 0;
        for (double[] layer : sums) {
            for (int expert = 0; expert < layer.length && index < to.size(); expert++) {
                layer[expert] += to.get(index) - from.get(index);
                index++;
            }
        }
        return true;
    }

    private long secondTaken() {
        return samples.stream().skip(1).findFirst().map(Sample::takenMillis).orElse(Long.MAX_VALUE);
    }

    private static boolean isRestarted(List<Long> before, List<Long> after) {
        for (int index = 0; index < before.size(); index++) {
            if (after.get(index) < before.get(index)) {
                return true;
            }
        }
        return false;
    }
}
