package org.jasminehub.bench.routing;

/**
 * A deployment with a load, a delay of load reports and a straggler.
 *
 * @param deployment the simulated deployment
 * @param loadFactor the offered load relative to the capacity
 * @param lagMillis the age of a load report on arrival, which is also the interval between reports
 * @param stragglerFactor the factor by which one engine's steps are longer in the middle third of the run
 */
record Scenario(Deployment deployment, double loadFactor, double lagMillis, double stragglerFactor) {
    static final double WARM_UP_MILLIS = 10_000;
    static final double LOAD_MILLIS = 60_000;
    static final double END_MILLIS = 125_000;

    @Override
    public String toString() {
        return String.format(
                "%s, load %.2f, reports %.1f s old, straggler x%.1f",
                deployment.name(), loadFactor, lagMillis / 1000, stragglerFactor);
    }
}
