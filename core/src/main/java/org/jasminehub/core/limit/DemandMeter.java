package org.jasminehub.core.limit;

/**
 * Measures the demand per second, including requests that were not allowed.
 *
 * <p>Not thread-safe.
 */
final class DemandMeter {
    private static final double MILLIS_PER_SECOND = 1000;
    private static final long WINDOW_MILLIS = 1000;

    private long windowStartMillis;
    private double windowUnits;
    private double lastPerSecond;

    DemandMeter(long nowMillis) {
        this.windowStartMillis = nowMillis;
    }

    void add(double units, long nowMillis) {
        advanceWindow(nowMillis);
        windowUnits += units;
    }

    /** Returns the demand in the last complete window or in the current one, whichever is larger. */
    double perSecond(long nowMillis) {
        advanceWindow(nowMillis);
        return Math.max(lastPerSecond, windowUnits);
    }

    private void advanceWindow(long nowMillis) {
        long elapsedMillis = nowMillis - windowStartMillis;
        if (elapsedMillis >= WINDOW_MILLIS) {
            boolean isConsecutive = elapsedMillis < 2 * WINDOW_MILLIS;
            lastPerSecond = isConsecutive ? windowUnits * MILLIS_PER_SECOND / elapsedMillis : 0;
            windowUnits = 0;
            windowStartMillis = nowMillis;
        }
    }
}
