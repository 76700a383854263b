package org.jasminehub.gateway.telemetry;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.UniformSnapshot;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;

/** Stores all values since the start of the process in an HdrHistogram, with an error of at most 1 %. */
final class HdrReservoir implements Reservoir {
    private static final long MAX_MILLIS = 120_000;
    private static final int SIGNIFICANT_DIGITS = 2;
    /** Approximate number of values in a snapshot, from which quantiles are computed. */
    private static final int SNAPSHOT_VALUES = 1_000;

    private final Histogram histogram = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);

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
