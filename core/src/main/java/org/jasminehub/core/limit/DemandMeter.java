package org.jasminehub.core.limit;

/** Measures how much was asked for a second, whether it was allowed or not. Not safe for use by several threads. */
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
        roll(nowMillis);
        windowUnits += units;
    }

    /** Returns the larger of the last whole window's demand and the present one's. */
    double perSecond(long nowMillis) {
        roll(nowMillis);
        return Math.max(lastPerSecond, windowUnits);
    }

    private void roll(long nowMillis) {
        long elapsedMillis = nowMillis - windowStartMillis;
        if (elapsedMillis >= WINDOW_MILLIS) {
            boolean isNext = elapsedMillis < 2 * WINDOW_MILLIS;
            lastPerSecond = isNext ? windowUnits * MILLIS_PER_SECOND / elapsedMillis : 0;
            windowUnits = 0;
            windowStartMillis = nowMillis;
        }
    }
}
