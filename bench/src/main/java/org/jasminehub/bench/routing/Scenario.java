package org.jasminehub.bench.routing;

/**
 * One load on one deployment.
 *
 * @param deployment the deployment
 * @param loadFactor the offered load relative to the capacity
 * @param lagMillis how old load reports are when they come, and how long lies between them
 * @param stragglerFactor by how much one group's steps grow in the middle third of the run
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
