package org.jasminehub.gateway.telemetry;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.UniformSnapshot;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;

/** Keeps a histogram's values in an HdrHistogram: all of them since the start, within 1 in 100 of their size. */
final class HdrReservoir implements Reservoir {
    private static final long MAX_MILLIS = 120_000;
    private static final int DIGITS = 2;
    /** Quantiles are read from this many values spread over the distribution. */
    private static final int SNAPSHOT_VALUES = 1_000;

    private final Histogram histogram = new Histogram(MAX_MILLIS, DIGITS);

    @Override
    public synchronized int size() {
        return (int) Math.min(Integer.MAX_VALUE, histogram.getTotalCount());
    }

    @Override
    public synchronized void update(long value) {
        histogram.recordValue(Math.max(0, Math.min(MAX_MILLIS, value)));
    }

    @Override
    public synchronized Snapshot getSnapshot() {
        long total = histogram.getTotalCount();
        List<Long> values = new ArrayList<>();
        for (HistogramIterationValue each : histogram.recordedValues()) {
            long copies = Math.max(1, each.getCountAddedInThisIterationStep() * SNAPSHOT_VALUES / Math.max(1, total));
            for (long copy = 0; copy < copies; copy++) {
                values.add(each.getValueIteratedTo());
            }
        }
        return new UniformSnapshot(values);
    }
}
